package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// withinErrors is how many of their common standard errors two slopes may differ by and still count as the same.
const withinErrors = 3

// Comparison counts the slopes that two runs gave, and those that differ by more than their errors.
type Comparison struct{ Compared, Apart int }

// Against draws the slopes of rest through two runs' rows and says which differ by more than their errors.
func Against(to io.Writer, first, second []Row) (Comparison, error) {
	var sum Comparison
	terms, curved := restTerms(first)
	others, otherCurved := restTerms(second)
	if len(terms) == 0 || len(terms) != len(others) {
		return sum, fmt.Errorf("the runs do not tell of the same slopes")
	}
	out := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "what\tslope\tfirst\tsecond\tapart by\t")
	a, b := drawRest(first, terms, curved), drawRest(second, terms, otherCurved)
	for at, one := range a {
		other := b[at]
		if one.err != nil || other.err != nil {
			fmt.Fprintf(out, "%s %s\t\t\t\tnot drawn\t\n", one.kind, one.name)
			continue
		}
		for j, term := range one.fit.Terms {
			k := slices.IndexFunc(other.fit.Terms, func(t Term) bool { return t.Name == term.Name })
			sum.Compared++
			if k < 0 {
				// A square that only one of them shows is a difference of its own.
				sum.Apart++
				fmt.Fprintf(out, "%s %s, %s\t%s\t%.3g ± %.1g\tnone\tAPART\t\n", one.kind, one.name, one.unit, term.Name, one.fit.Slopes[j], one.fit.Errors[j])
				continue
			}
			apart, within := math.Abs(one.fit.Slopes[j]-other.fit.Slopes[k]), math.Hypot(one.fit.Errors[j], other.fit.Errors[k])
			said := fmt.Sprintf("%.1f errors", apart/within)
			if apart > withinErrors*within {
				sum.Apart++
				said += " APART"
			}
			fmt.Fprintf(out, "%s %s, %s\t%s\t%.3g ± %.1g\t%.3g ± %.1g\t%s\t\n", one.kind, one.name, one.unit, term.Name,
				one.fit.Slopes[j], one.fit.Errors[j], other.fit.Slopes[k], other.fit.Errors[k], said)
		}
		for _, term := range other.fit.Terms {
			if !slices.ContainsFunc(one.fit.Terms, func(t Term) bool { return t.Name == term.Name }) {
				sum.Compared++
				sum.Apart++
				fmt.Fprintf(out, "%s %s, %s\t%s\tnone\t\tAPART\t\n", one.kind, one.name, one.unit, term.Name)
			}
		}
	}
	if err := out.Flush(); err != nil {
		return sum, err
	}
	fmt.Fprintf(to, "\n%d of %d slopes differ by more than %d of their common standard errors\n", sum.Apart, sum.Compared, withinErrors)
	return sum, nil
}
