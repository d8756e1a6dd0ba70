package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
)

// ReadRows reads the rows of earlier runs.
func ReadRows(files []string) ([]Row, error) {
	var rows []Row
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var row Row
			if err := json.Unmarshal(lines.Bytes(), &row); err != nil {
				file.Close()
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			rows = append(rows, row)
		}
		err = lines.Err()
		file.Close()
		if err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// measure is one thing that slopes are drawn through.
type measure struct {
	name  string
	kind  Kind
	unit  string
	of    func(Each) float64
	bound float64
}

func measures() []measure {
	b := DesignBounds()
	var out []measure
	for _, kind := range []Kind{Edge, Hollow, Follower, Leader} {
		out = append(out,
			measure{"processor", kind, "% of a core", func(e Each) float64 { return 100 * e.Cores }, 100 * b.Cores},
			measure{"memory", kind, "MB", func(e Each) float64 { return e.Resident }, b.MemoryMB},
			measure{"memory without the program", kind, "MB", func(e Each) float64 { return e.Own }, 0},
			measure{"bytes sent", kind, "KB/s", func(e Each) float64 { return e.Sent / 1000 }, b.KBPerSecond},
			measure{"bytes received", kind, "KB/s", func(e Each) float64 { return e.Received / 1000 }, 0},
			measure{"calls made", kind, "/s", func(e Each) float64 { return e.Made }, 0},
			measure{"calls served", kind, "/s", func(e Each) float64 { return e.Served }, 0},
			measure{"descriptors", kind, "", func(e Each) float64 { return e.Files }, 0},
		)
	}
	return out
}

// Report prints the rows and the slopes.
func Report(to io.Writer, rows []Row) {
	out := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "\ndaemons\tengines\tphase\ts\tkind\t% core\tMB\tsent KB/s\tmost\treceived\tcalls made/s\tserved/s\topened/s\tfiles\ttimes least/middle/most s\tmissed\t")
	for _, row := range rows {
		if row.Cut != "" {
			fmt.Fprintf(out, "%d\t%d\t%s\t\t%s\t\t\t\t\t\t\t\t\t\t\t\t\n", row.Size.Daemons, row.Size.Engines, row.Phase, row.Cut)
			continue
		}
		times := ""
		if len(row.Times) > 0 {
			times = fmt.Sprintf("%.2f/%.2f/%.2f", slices.Min(row.Times), middle(row.Times), slices.Max(row.Times))
		}
		if len(row.Kinds) == 0 {
			fmt.Fprintf(out, "%d\t%d\t%s\t\t\t\t\t\t\t\t\t\t\t\t%s\t%d\t\n", row.Size.Daemons, row.Size.Engines, row.Phase, times, row.Missed)
			continue
		}
		for _, kind := range []Kind{Leader, Follower, Edge, Hollow} {
			each, known := row.Kinds[kind]
			if !known {
				continue
			}
			fmt.Fprintf(out, "%d\t%d\t%s\t%.1f\t%s\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%s\t%d\t\n", row.Size.Daemons, row.Size.Engines, row.Phase, row.Seconds, kind,
				100*each.Cores, each.Resident, each.Sent/1000, each.MostSent/1000, each.Received/1000, each.Made, each.Served, each.Opened, each.Files, times, row.Missed)
		}
	}
	out.Flush()
	slopes(to, rows)
	events(to, rows)
}

// drawing is one measure with the plane through its points, or why there is none.
type drawing struct {
	measure
	fit Fit
	err error
}

// restTerms are what the rows of rest can tell of: a size that is the same in all rows has no slope.
func restTerms(rows []Row) (terms []Term, curved bool) {
	daemons, engines := map[int]bool{}, map[int]bool{}
	for _, row := range rows {
		if row.Phase == PhaseRest && row.Cut == "" {
			daemons[row.Size.Daemons], engines[row.Size.Engines] = true, true
		}
	}
	if len(daemons) == 0 {
		return nil, false
	}
	terms = []Term{Constant}
	if len(daemons) > 1 {
		terms = append(terms, PerDaemon)
	}
	if len(engines) > 1 {
		terms = append(terms, PerEngine)
	}
	return terms, len(daemons) > 2
}

// drawRest draws every measure of rest through the rows.
func drawRest(rows []Row, terms []Term, curved bool) []drawing {
	var out []drawing
	for _, m := range measures() {
		var points []Point
		for _, row := range rows {
			if each, known := row.Kinds[m.kind]; known && row.Phase == PhaseRest && row.Cut == "" {
				points = append(points, Point{row.Size, m.of(each)})
			}
		}
		fit, err := drawCurved(points, curved, terms)
		if !slices.ContainsFunc(points, func(p Point) bool { return p.Value != 0 }) {
			// Rows of earlier builds lack what was not measured then.
			err = errors.New("not measured")
		}
		out = append(out, drawing{m, fit, err})
	}
	return out
}

// slopes draws what rest costs by daemons and engines.
func slopes(to io.Writer, rows []Row) {
	full := Full()
	terms, curved := restTerms(rows)
	if len(terms) == 0 {
		return
	}
	fmt.Fprintf(to, "\nslopes of rest, with their standard errors; at %d daemons and %d engines with the interval of 19 in 20\n", full.Daemons, full.Engines)
	out := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "what\t")
	for _, term := range terms {
		fmt.Fprintf(out, "%s\t", term.Name)
	}
	fmt.Fprintln(out, "per daemon squared\texplained\tat full size\tbound\t")
	for _, m := range drawRest(rows, terms, curved) {
		fit := m.fit
		if m.err != nil {
			fmt.Fprintf(out, "%s %s\t%v\n", m.kind, m.name, m.err)
			continue
		}
		fmt.Fprintf(out, "%s %s, %s\t", m.kind, m.name, m.unit)
		for j := range terms {
			fmt.Fprintf(out, "%.3g ± %.1g\t", fit.Slopes[j], fit.Errors[j])
		}
		if len(fit.Terms) > len(terms) {
			fmt.Fprintf(out, "%.3g ± %.1g\t", fit.Slopes[len(terms)], fit.Errors[len(terms)])
		} else {
			fmt.Fprint(out, "\t")
		}
		value, within := fit.At(full)
		bound := ""
		if m.bound > 0 {
			bound = fmt.Sprintf("%.3g", m.bound)
		}
		fmt.Fprintf(out, "%.3f\t%.3g ± %.2g\t%s\t\n", fit.Explained, value, within, bound)
	}
	out.Flush()
}

// drawCurved takes the square of the daemons in where the points show it beyond doubt: drawn on from a few
// sizes, a square that is only noise says anything.
func drawCurved(points []Point, curved bool, terms []Term) (Fit, error) {
	const beyondDoubt = 4
	if curved {
		square := append(slices.Clone(terms), PerDaemonSquared)
		fit, err := Draw(points, square...)
		if err == nil && fit.Slopes[len(terms)] > beyondDoubt*fit.Errors[len(terms)] {
			return fit, nil
		}
	}
	return Draw(points, terms...)
}

// eventCost is what one leaving, change or restart cost a daemon of a kind beyond rest.
type eventCost struct {
	size   Size
	phase  string
	number float64
	kind   Kind
	// ms is processor time, sent and received are kilobytes.
	ms, sent, received float64
}

// eventCosts reads them from the rows: the difference of two noisy rates, so a small one says little.
func eventCosts(rows []Row) []eventCost {
	type key struct {
		daemons, engines int
		kind             Kind
	}
	// The last window of rest is the one right before, in which least is left of what came earlier.
	rest := map[key]Each{}
	var out []eventCost
	for _, row := range rows {
		number := float64(len(row.Times) + row.Missed)
		for _, kind := range []Kind{Leader, Follower, Edge, Hollow} {
			at := key{row.Size.Daemons, row.Size.Engines, kind}
			each, known := row.Kinds[kind]
			if known && row.Phase == PhaseRest && row.Cut == "" {
				rest[at] = each
			}
			before, measured := rest[at]
			if !known || !measured || row.Phase == PhaseRest || row.Phase == PhaseStart || number == 0 {
				continue
			}
			beyond := func(now, before float64) float64 { return (now - before) * row.Seconds / number }
			out = append(out, eventCost{row.Size, row.Phase, number, kind, 1000 * beyond(each.Cores, before.Cores),
				beyond(each.Sent, before.Sent) / 1000, beyond(each.Received, before.Received) / 1000})
		}
	}
	return out
}

// events prints what one leaving, change or restart costs a daemon beyond rest.
func events(to io.Writer, rows []Row) {
	costs := eventCosts(rows)
	fmt.Fprintln(to, "\nwhat one event costs a daemon beyond rest; the difference of two noisy rates, so a small one says little")
	out := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "daemons\tengines\tevent\tnumber\tkind\tms of processor\tKB sent\tKB received\t")
	for _, cost := range costs {
		fmt.Fprintf(out, "%d\t%d\t%s\t%.0f\t%s\t%.1f\t%.1f\t%.1f\t\n", cost.size.Daemons, cost.size.Engines, cost.phase, cost.number, cost.kind, cost.ms, cost.sent, cost.received)
	}
	out.Flush()
	eventSlopes(to, costs)
}

// eventSlopes draws what one event costs by the daemons, where there are enough sizes.
func eventSlopes(to io.Writer, costs []eventCost) {
	full := Full()
	fmt.Fprintf(to, "\nslopes of one event's cost beyond rest, with their standard errors; at %d daemons with the interval of 19 in 20\n", full.Daemons)
	out := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "what\teach\tper daemon\texplained\tat full size\t")
	for _, phase := range []string{PhaseLeave, PhaseChange, PhaseRestart} {
		for _, kind := range []Kind{Leader, Follower, Edge, Hollow} {
			for _, m := range []struct {
				name string
				of   func(eventCost) float64
			}{
				{"ms of processor", func(c eventCost) float64 { return c.ms }},
				{"KB sent", func(c eventCost) float64 { return c.sent }},
				{"KB received", func(c eventCost) float64 { return c.received }},
			} {
				var points []Point
				for _, cost := range costs {
					if cost.phase == phase && cost.kind == kind {
						points = append(points, Point{cost.size, m.of(cost)})
					}
				}
				fit, err := Draw(points, Constant, PerDaemon)
				if err != nil {
					// Too few sizes tell of no slope; the rows above stand for themselves.
					continue
				}
				value, within := fit.At(full)
				fmt.Fprintf(out, "%s, %s, %s\t%.3g ± %.1g\t%.3g ± %.1g\t%.3f\t%.3g ± %.2g\t\n", phase, kind, m.name, fit.Slopes[0], fit.Errors[0], fit.Slopes[1], fit.Errors[1], fit.Explained, value, within)
			}
		}
	}
	out.Flush()
}
