package checker

// shareSlack is by how much chance may favour one class over another.
const shareSlack = 0.05

func worthFirst(h *History) Finding {
	f := Finding{Rule: "in a contest the higher worth is served first"}
	for _, a := range h.Contest {
		for _, b := range h.Contest {
			if a.Priority <= b.Priority {
				continue
			}
			high, n := h.ServedShare(a)
			low, m := h.ServedShare(b)
			f.Checked += n + m
			if high < low-shareSlack {
				f.fault("%s (worth %d) was served %.3f of %d, %s (worth %d) %.3f of %d", a.Name, a.Priority, high, n, b.Name, b.Priority, low, m)
			}
		}
	}
	return f
}

func noTenantFavoured(h *History) Finding {
	f := Finding{Rule: "in a contest no house's burst takes a rival's room"}
	for _, calm := range h.Contest {
		for _, burst := range h.Contest {
			if calm.Burst || !burst.Burst || calm.Priority != burst.Priority || calm.Tenant == burst.Tenant {
				continue
			}
			share, n := h.ServedShare(calm)
			other, m := h.ServedShare(burst)
			f.Checked += n + m
			// With turns, the rival that asks for its usual is served at least as well as the one that floods.
			if share < other-shareSlack || share < 0.9 {
				f.fault("%s was served %.3f of %d while %s burst and was served %.3f of %d", calm.Name, share, n, burst.Name, other, m)
			}
		}
	}
	return f
}
