// Package interleaving runs a few threads in every order their steps can take, one step at a time, and
// checks each outcome. A thread gives up its turn where it calls yield.
package interleaving

import (
	"fmt"
	"iter"
)

// Case is one fresh set of threads over fresh state, and the check of what they left.
type Case struct {
	Threads []func(yield func())
	Check   func() error
}

// Result is what an exploration found.
type Result struct {
	Orders int
	// Failure is the first order that broke the check, and how.
	Failure error
	Order   []int
}

// thread is a body that runs on to where it yields; it says false when it has ended.
type thread struct {
	resume func() (struct{}, bool)
	stop   func()
}

func newThread(body func(yield func())) thread {
	resume, stop := iter.Pull(func(pause func(struct{}) bool) {
		body(func() { pause(struct{}{}) })
	})
	return thread{resume, stop}
}

// Explore runs all orders of the case's steps, or stops after most of them with an error.
func Explore(most int, fresh func() Case) Result {
	var result Result
	// prefix is the choices of the order under way; it is counted up like a number.
	var prefix []int
	for {
		order, widths, err := runOnce(fresh(), prefix)
		result.Orders++
		if err != nil {
			result.Failure, result.Order = err, order
			return result
		}
		if result.Orders >= most {
			result.Failure = fmt.Errorf("more than %d orders", most)
			return result
		}
		next := len(order) - 1
		for next >= 0 && order[next]+1 >= widths[next] {
			next--
		}
		if next < 0 {
			return result
		}
		prefix = append(append([]int{}, order[:next]...), order[next]+1)
	}
}

// runOnce follows the prefix, then always the first thread that can go on.
func runOnce(c Case, prefix []int) (order, widths []int, err error) {
	threads := make([]thread, len(c.Threads))
	alive := make([]int, 0, len(threads))
	for i, body := range c.Threads {
		threads[i] = newThread(body)
		alive = append(alive, i)
		defer threads[i].stop()
	}
	for len(alive) > 0 {
		choice := 0
		if len(order) < len(prefix) {
			choice = prefix[len(order)]
		}
		order, widths = append(order, choice), append(widths, len(alive))
		if _, goesOn := threads[alive[choice]].resume(); !goesOn {
			alive = append(alive[:choice:choice], alive[choice+1:]...)
		}
	}
	return order, widths, c.Check()
}
