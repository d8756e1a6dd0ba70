package placement

// remember keeps when models came and when they were wanted.
func (p *Planner) remember(in Input) {
	seen := map[place]bool{}
	for id, engine := range in.Engines.Engines {
		for _, held := range engine.Report.Models {
			key := place{engine: id, model: held.Model}
			seen[key] = true
			if _, known := p.since[key]; !known {
				p.since[key] = in.Now
			}
		}
	}
	for key := range p.since {
		if !seen[key] {
			delete(p.since, key)
		}
	}
	for _, demand := range in.Demand {
		if demand.Queued+demand.Running == 0 {
			continue
		}
		for _, key := range []want{{demand.Model, ""}, {demand.Model, demand.Adapter}} {
			old := p.wantedAt[key]
			worth := demand.Worth
			if in.Now.Since(old.at) < quietFor {
				worth = max(worth, old.worth)
			}
			if _, known := p.wantedSince[key]; !known || in.Now.Since(old.at) >= quietFor {
				p.wantedSince[key] = in.Now
			}
			p.wantedAt[key] = wish{in.Now, worth}
		}
	}
	sat := map[place]bool{}
	for _, seat := range in.Seats {
		for _, key := range []place{{seat.Engine, seat.Model, ""}, {seat.Engine, seat.Model, seat.Adapter}} {
			sat[key] = sat[key] || seat.Sessions > 0
			if _, known := p.seatedSince[key]; !known && sat[key] {
				p.seatedSince[key] = in.Now
			}
		}
	}
	for key := range p.seatedSince {
		if !sat[key] {
			delete(p.seatedSince, key)
		}
	}
	for key, at := range p.restful {
		if in.Now >= at {
			delete(p.restful, key)
		}
	}
}
