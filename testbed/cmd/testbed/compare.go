package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cresspond/cresspond/testbed/compare"
)

// comparison is what the command compare is asked for.
type comparison struct {
	journal, before, after, picture *string
	each                            *bool
}

func addCompare(app *kingpin.Application) (*kingpin.CmdClause, comparison) {
	command := app.Command("compare", "Pair the days of the bench's journal that were played before and after a change, and print how each figure differs.")
	return command, comparison{
		journal: command.Flag("journal", "Folder of the journal.").Default("journal").ExistingDir(),
		before:  command.Flag("before", "Entries before: how their reason begins, or an id.").Required().String(),
		after:   command.Flag("after", "Entries after, the same.").Required().String(),
		each:    command.Flag("days", "Print each day's figures too.").Bool(),
		picture: command.Flag("picture", "File for a picture of the differences, .svg or .png.").String(),
	}
}

var (
	errNothingPairs = errors.New("no day was played on both sides with the same seed")
	errSkipped      = errors.New("entries were skipped")
)

// run prints the comparison. An entry that can't be read is named and skipped, and fails the command in the end.
func (c comparison) run(out, complaints io.Writer) error {
	entries, faults := compare.ReadFolder(os.DirFS(*c.journal))
	for _, fault := range faults {
		fmt.Fprintln(complaints, "testbed: skipped "+fault.Error())
	}
	pairs := compare.PairUp(compare.Select(entries, *c.before), compare.Select(entries, *c.after))
	if len(pairs) == 0 {
		return errNothingPairs
	}
	if *c.each {
		days := compare.ByDay(pairs)
		for _, name := range slices.Sorted(maps.Keys(days)) {
			printChanges(out, name, days[name])
		}
	}
	printChanges(out, "all", pairs)
	if *c.picture != "" {
		if err := compare.Draw(pairs, *c.picture); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return errSkipped
	}
	return nil
}

// leastShown is how small a difference may be, at most, to be left out.
const leastShown = 0.0005

func printChanges(out io.Writer, title string, pairs []compare.Pair) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "%s (%d pairs)\tbefore\tafter\tmedian\tleast\tmost\tstandard error\n", title, len(pairs))
	for _, one := range compare.Changes(pairs) {
		if max(one.Most, -one.Least) < leastShown {
			continue
		}
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.3f\t%+.3f\t%+.3f\t%.3f\n", one.Figure, one.Before, one.After, one.Median, one.Least, one.Most, one.Error)
	}
}
