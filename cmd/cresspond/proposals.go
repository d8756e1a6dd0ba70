package main

import (
	"fmt"
	"net/url"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// addProposalCommands adds the commands that take a configuration through its stages and read it back.
func (c *commandLine) addProposalCommands() {
	config := c.app.Command("config", "Take a configuration through its stages, or read it back.").Alias("spec")

	propose := config.Command("propose", "Propose a configuration.")
	file := propose.Arg("file", "The configuration, JSON; - for standard input.").Required().String()
	id := propose.Flag("id", "The proposal's id; the same id sent again finds the same proposal.").Required().String()
	base := propose.Flag("base", "The version in force that this configuration builds on; 0 for the first.").Required().Uint64()
	note := propose.Flag("note", "A note for the reviewers.").String()
	c.onAs(propose, func(t *tool, operator string) error {
		return t.propose(*file, operatorapi.Propose{ProposalID: *id, Base: ident.Version(*base), Operator: operator, Note: *note})
	})

	for _, act := range []struct{ name, help, path string }{
		{"review", "Say that you have reviewed a proposal.", operatorapi.PathReview},
		{"sign", "Sign a reviewed proposal off; its author may not.", operatorapi.PathSign},
		{"roll", "Put a signed proposal in force everywhere.", operatorapi.PathRoll},
	} {
		command := config.Command(act.name, act.help)
		id := command.Arg("id", "The proposal's id.").Required().String()
		c.onAs(command, func(t *tool, operator string) error {
			return t.post(act.path, operatorapi.ProposalAction{ProposalID: *id, Operator: operator})
		})
	}

	get := config.Command("get", "Read a configuration back, byte for byte.")
	version := get.Arg("epoch", "Its version; 0 for the one in force.").Default("0").Uint64()
	c.on(get, func(t *tool) error {
		return t.page(fmt.Sprintf("%s?epoch=%d", operatorapi.PathConfiguration, *version), showAsIs)
	})

	history := config.Command("history", "List all versions with their sign-offs.")
	c.onPage(history, operatorapi.PathHistory, showHistory)

	show := config.Command("show", "Show one proposal with its stage.")
	shown := show.Arg("id", "The proposal's id.").Required().String()
	c.on(show, func(t *tool) error {
		return t.page(operatorapi.PathProposal+"?id="+url.QueryEscape(*shown), showProposal)
	})
}
