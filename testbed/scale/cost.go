package scale

// costBy draws what the next step costs from those that were measured with the most engines; before that, from FirstCost.
func costBy(rows []Row, next Size) Cost {
	cost := FirstCost()
	var cores, memory []Point
	sizes := map[int]bool{}
	for _, row := range rows {
		hollow, measured := row.Kinds[Hollow]
		if row.Phase != PhaseRest || !measured || row.Size.Engines == 0 {
			continue
		}
		sizes[row.Size.Daemons] = true
		cores = append(cores, Point{row.Size, hollow.Cores})
		memory = append(memory, Point{row.Size, hollow.Resident * (1 << 20)})
	}
	if len(sizes) < 2 {
		// One size shows no slope: all of it is then taken to grow with the peers.
		for _, point := range cores {
			cost.PeerCores = max(cost.PeerCores, point.Value/float64(point.Size.Daemons))
		}
		return cost
	}
	if value, drawn := expect(cores, next); drawn {
		cost.DaemonCores, cost.PeerCores = value, 0
	}
	if value, drawn := expect(memory, next); drawn {
		cost.DaemonBytes, cost.PeerBytes, cost.ProcessBytes = value, 0, 0
	}
	return cost
}

// expect draws points on to the next step, and gives the upper end of what may be; never less than was measured.
func expect(points []Point, next Size) (value float64, drawn bool) {
	fit, err := Draw(points, Constant, PerDaemon)
	if err != nil {
		return 0, false
	}
	value, within := fit.At(next)
	value += within
	for _, point := range points {
		value = max(value, point.Value)
	}
	return value, true
}
