package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun says that a case could not run.
var errNotRun = errors.New("the case could not run")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(folder string, trouble bool) (broken bool, err error){"late-answer": lateAnswer, "withdrawn-model": withdrawnModel, "long-line": longLines, "upgrade": upgrade, "store-before": storeBefore}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	broken, err := play(os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
