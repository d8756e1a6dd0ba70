package compare

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Key is what two plays must share to be paired.
type Key struct {
	Site, Day, Scale string
	Seed             uint64
}

// Pair is one day and seed, with each figure's mean over its plays before and after.
type Pair struct {
	Key
	Before, After map[string]float64
}

// Figures gives the figures of a day by name. Prices of the same name are added up.
func Figures(day Day) map[string]float64 {
	figures := map[string]float64{"worth": day.Worth, "served": day.Served, "refused": day.Refused, "failed": day.Failed}
	for _, part := range day.Parts {
		figures["part: "+part.Name] = part.Share
	}
	for _, price := range day.Prices {
		figures["price: "+price.Name] += price.Cost
	}
	for kind, share := range day.ByKind {
		if share != nil {
			figures["kind: "+strconv.Itoa(kind+1)] = *share
		}
	}
	return figures
}

// PairUp pairs the days that were played both before and after.
func PairUp(before, after []Entry) []Pair {
	earlier, later := gather(before), gather(after)
	var pairs []Pair
	for key, plays := range earlier {
		if others := later[key]; len(others) > 0 {
			pairs = append(pairs, Pair{Key: key, Before: meanOf(plays), After: meanOf(others)})
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Scale, b.Scale), cmp.Compare(a.Day, b.Day), cmp.Compare(a.Seed, b.Seed))
	})
	return pairs
}

// gather lists the figures of all plays by what they are paired by. Days that broke a rule or failed count too.
func gather(entries []Entry) map[Key][]map[string]float64 {
	out := map[Key][]map[string]float64{}
	for _, entry := range entries {
		for _, day := range entry.Days {
			key := Key{Site: entry.Site, Day: day.Name, Scale: entry.scale(), Seed: day.Seed}
			out[key] = append(out[key], Figures(day))
		}
	}
	return out
}

func meanOf(plays []map[string]float64) map[string]float64 {
	sums := map[string]float64{}
	for _, figures := range plays {
		for name, value := range figures {
			sums[name] += value
		}
	}
	for name := range sums {
		sums[name] /= float64(len(plays))
	}
	return sums
}

// Change sums up how one figure changed over pairs.
type Change struct {
	Figure string
	// Pairs is over how many pairs; Before and After are means.
	Pairs         int
	Before, After float64
	// Median, Least and Most are of the differences, Error is the standard error of their mean.
	Median, Least, Most, Error float64
}

// Changes sums up each figure over pairs. A figure that a side lacks counts as zero there.
func Changes(pairs []Pair) []Change {
	names := map[string]bool{}
	for _, pair := range pairs {
		for name := range pair.Before {
			names[name] = true
		}
		for name := range pair.After {
			names[name] = true
		}
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		changes = append(changes, changeOf(name, pairs))
	}
	return changes
}

func changeOf(name string, pairs []Pair) Change {
	change := Change{Figure: name, Pairs: len(pairs)}
	var differences []float64
	for _, pair := range pairs {
		change.Before += pair.Before[name] / float64(len(pairs))
		change.After += pair.After[name] / float64(len(pairs))
		differences = append(differences, pair.After[name]-pair.Before[name])
	}
	slices.Sort(differences)
	if middle := len(differences) / 2; len(differences)%2 == 1 {
		change.Median = differences[middle]
	} else {
		change.Median = (differences[middle-1] + differences[middle]) / 2
	}
	change.Least, change.Most = differences[0], differences[len(differences)-1]
	if len(differences) > 1 {
		change.Error = stat.StdErr(stat.StdDev(differences, nil), float64(len(differences)))
	}
	return change
}

// ByDay groups pairs by site, scale and day.
func ByDay(pairs []Pair) map[string][]Pair {
	out := map[string][]Pair{}
	for _, pair := range pairs {
		name := pair.Site + pair.Scale + " " + pair.Day
		out[name] = append(out[name], pair)
	}
	return out
}
