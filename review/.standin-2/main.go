// Command standin-2 plays the cases of the second review that are scripts: it starts the project's programs as the
// platform does, and stands in for the platform, its clients, its engines and its operator. It uses loopback addresses
// and the real clock, and the standard library alone.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld       = 0
	exitBroken     = 1
	exitCouldNotBe = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD")
		os.Exit(exitCouldNotBe)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitCouldNotBe)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNotBe)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)
	broken, err := play(os.Args[2], rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitCouldNotBe)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// cases are the cases by name.
var cases = map[string]func(root string, rec *record, trouble bool) (broken bool, err error){
	"configuration-memory": playConfigurationMemory,
}
