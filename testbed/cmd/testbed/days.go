package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-playground/validator/v10"

	"github.com/cresspond/cresspond/testbed/scenariogen"
)

// daysOptions say which days of trouble are to be written.
type daysOptions struct {
	Site  string `validate:"required,file"`
	Seed  uint64 `validate:"gte=1"`
	Count int    `validate:"gte=1,lte=1000"`
	Out   string `validate:"required,dir"`
}

// addDays adds the verb that writes days of trouble; what it gives runs it if it was chosen.
func addDays(app *kingpin.Application) (verb *kingpin.CmdClause, run func() error) {
	var options daysOptions
	verb = app.Command("days", "Write days of trouble for the deployment of a site file, each as a TOML file.")
	verb.Arg("site-file", "The site file.").Required().StringVar(&options.Site)
	verb.Flag("seed", "Seed of the days.").Default("1").Uint64Var(&options.Seed)
	verb.Flag("count", "How many days.").Default("10").IntVar(&options.Count)
	verb.Flag("out", "Folder to write them to.").Required().StringVar(&options.Out)
	return verb, func() error { return writeDays(options) }
}

// writeDays writes the days and prints the path of each.
func writeDays(options daysOptions) error {
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(options); err != nil {
		return err
	}
	site, err := scenariogen.ReadSite(options.Site)
	if err != nil {
		return err
	}
	for _, day := range scenariogen.Generate(site, options.Seed, options.Count) {
		path, err := day.Write(options.Out)
		if err != nil {
			return err
		}
		fmt.Println(path)
	}
	return nil
}
