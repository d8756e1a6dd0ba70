package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-playground/validator/v10"

	"github.com/cresspond/cresspond/testbed/scenariogen"
)

// generateOptions select the scenarios to write.
type generateOptions struct {
	Site  string `validate:"required,file"`
	Seed  uint64 `validate:"gte=1"`
	Count int    `validate:"gte=1,lte=1000"`
	Out   string `validate:"required,dir"`
}

// addGenerate adds the command that writes generated scenarios; days is its earlier name.
func addGenerate(app *kingpin.Application) command {
	var options generateOptions
	clause := app.Command("generate", "Write scenarios with faults for the deployment of a site file, each as a TOML file.").Alias("days")
	clause.Arg("site-file", "The site file.").Required().StringVar(&options.Site)
	clause.Flag("seed", "Seed of the scenarios.").Default("1").Uint64Var(&options.Seed)
	clause.Flag("count", "How many scenarios.").Default("10").IntVar(&options.Count)
	clause.Flag("out", "Folder to write them to.").Required().StringVar(&options.Out)
	return command{clause, func() error { return writeScenarios(options) }}
}

// writeScenarios writes the scenarios and prints the path of each.
func writeScenarios(options generateOptions) error {
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
