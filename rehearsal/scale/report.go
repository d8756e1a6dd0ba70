package scale

import (
	"bufio"
	"encoding/json"
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

// slopes draws what rest costs by daemons and engines.
func slopes(to io.Writer, rows []Row) {
	full := Full()
	daemons, engines := map[int]bool{}, map[int]bool{}
	for _, row := range rows {
		if row.Phase == PhaseRest && row.Cut == "" {
			daemons[row.Size.Daemons], engines[row.Size.Engines] = true, true
		}
	}
	if len(daemons) == 0 {
		return
	}
	terms := []Term{Constant}
	if len(daemons) > 1 {
		terms = append(terms, PerDaemon)
	}
	if len(engines) > 1 {
		terms = append(terms, PerEngine)
	}
	fmt.Fprintf(to, "\nslopes of rest, with their standard errors; at %d daemons and %d engines with the interval of 19 in 20\n", full.Daemons, full.Engines)
	out := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "what\t")
	for _, term := range terms {
		fmt.Fprintf(out, "%s\t", term.Name)
	}
	fmt.Fprintln(out, "per daemon squared\texplained\tat full size\tbound\t")
	for _, m := range measures() {
		var points []Point
		for _, row := range rows {
			if each, known := row.Kinds[m.kind]; known && row.Phase == PhaseRest && row.Cut == "" {
				points = append(points, Point{row.Size, m.of(each)})
			}
		}
		fit, err := drawCurved(points, len(daemons) > 2, terms)
		if err != nil {
			fmt.Fprintf(out, "%s %s\t%v\n", m.kind, m.name, err)
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

// events prints what one leaving, change or restart costs a daemon beyond rest.
func events(to io.Writer, rows []Row) {
	type key struct {
		daemons, engines int
		kind             Kind
	}
	// The last window of rest is the one right before, in which least is left of what came earlier.
	rest := map[key]Each{}
	for _, row := range rows {
		if row.Phase != PhaseRest || row.Cut != "" {
			continue
		}
		for kind, each := range row.Kinds {
			rest[key{row.Size.Daemons, row.Size.Engines, kind}] = each
		}
	}
	fmt.Fprintln(to, "\nwhat one event costs a daemon beyond rest; the difference of two noisy rates, so a small one says little")
	out := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "daemons\tengines\tevent\tnumber\tkind\tms of processor\tKB sent\tKB received\t")
	for _, row := range rows {
		number := float64(len(row.Times) + row.Missed)
		if row.Phase == PhaseRest || row.Phase == PhaseStart || number == 0 || len(row.Kinds) == 0 {
			continue
		}
		for _, kind := range []Kind{Leader, Follower, Edge, Hollow} {
			at := key{row.Size.Daemons, row.Size.Engines, kind}
			each, known := row.Kinds[kind]
			before, measured := rest[at]
			if !known || !measured {
				continue
			}
			beyond := func(now, before float64) float64 { return (now - before) * row.Seconds / number }
			fmt.Fprintf(out, "%d\t%d\t%s\t%.0f\t%s\t%.1f\t%.1f\t%.1f\t\n", row.Size.Daemons, row.Size.Engines, row.Phase, number, kind,
				1000*beyond(each.Cores, before.Cores), beyond(each.Sent, before.Sent)/1000, beyond(each.Received, before.Received)/1000)
		}
	}
	out.Flush()
}
