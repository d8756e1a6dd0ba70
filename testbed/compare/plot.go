package compare

import (
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth    = 24 * vg.Centimeter
	plotHeight   = 12 * vg.Centimeter
	figureOfPlot = "kind: "
)

// Draw writes a picture of how each kind of request and the whole worth changed, a box for each over all pairs. The
// ending of the file's name decides the form: .svg or .png.
func Draw(pairs []Pair, file string) error {
	names := map[string]bool{"worth": true}
	for _, pair := range pairs {
		for name := range pair.After {
			if strings.HasPrefix(name, figureOfPlot) {
				names[name] = true
			}
		}
	}
	drawn := plot.New()
	drawn.Title.Text = "Worth after less before, by kind of request"
	drawn.Y.Label.Text = "difference"
	ordered := slices.Sorted(maps.Keys(names))
	for place, name := range ordered {
		var differences plotter.Values
		for _, pair := range pairs {
			differences = append(differences, pair.After[name]-pair.Before[name])
		}
		box, err := plotter.NewBoxPlot(vg.Points(20), float64(place), differences)
		if err != nil {
			return err
		}
		drawn.Add(box)
	}
	drawn.Add(plotter.NewGrid())
	drawn.NominalX(ordered...)
	return drawn.Save(plotWidth, plotHeight, file)
}
