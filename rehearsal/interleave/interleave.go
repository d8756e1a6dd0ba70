// Package interleave runs a few threads in every order their steps can take, one step at a time, and
// checks each outcome. A thread gives up its turn where it calls yield.
package interleave

import "fmt"

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

type thread struct {
	resume chan struct{}
	paused chan bool
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
	threads := make([]*thread, len(c.Threads))
	alive := make([]int, 0, len(threads))
	for i, body := range c.Threads {
		t := &thread{resume: make(chan struct{}), paused: make(chan bool)}
		threads[i] = t
		alive = append(alive, i)
		go func() {
			<-t.resume
			body(func() {
				t.paused <- true
				<-t.resume
			})
			t.paused <- false
		}()
	}
	for len(alive) > 0 {
		choice := 0
		if len(order) < len(prefix) {
			choice = prefix[len(order)]
		}
		order, widths = append(order, choice), append(widths, len(alive))
		t := threads[alive[choice]]
		t.resume <- struct{}{}
		if goesOn := <-t.paused; !goesOn {
			alive = append(alive[:choice:choice], alive[choice+1:]...)
		}
	}
	return order, widths, c.Check()
}
