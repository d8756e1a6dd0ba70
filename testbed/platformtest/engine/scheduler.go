package engine

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// submit hands a job to the scheduler; its progress comes on the channel. The second result is false if it was rejected.
func (inc *incarnation) submit(job *Job, arrival *history.Arrival) (<-chan Progress, bool) {
	to := &sink{progress: make(chan Progress, 4+job.tokens(max(1, inc.Config.Pace.Stride))), arrival: arrival}
	taken := false
	inc.do(func() {
		inc.jobCount++
		job.Number = inc.jobCount
		if inc.Config.Model {
			taken = inc.batch.Submit(job)
		} else {
			taken = inc.active < inc.Config.Slots || len(inc.waiting) < inc.Config.Waiting
		}
		if !taken {
			return
		}
		inc.sinks[job] = to
		if inc.Config.Model {
			inc.step()
		} else {
			inc.waiting = append(inc.waiting, job)
			inc.startWaiting()
		}
		inc.recordReport()
	})
	return to.progress, taken
}

// cancel removes a job whose caller has disconnected.
func (inc *incarnation) cancel(job *Job) {
	inc.do(func() {
		if inc.sinks[job] == nil {
			return
		}
		delete(inc.sinks, job)
		if inc.Config.Model {
			inc.batch.Remove(job)
		} else if job.running {
			job.running = false
			inc.active--
			inc.startWaiting()
		} else {
			inc.waiting = slices.DeleteFunc(inc.waiting, func(other *Job) bool { return other == job })
		}
		inc.finishPendingEviction()
		inc.recordReport()
	})
}

// step starts a step of the batch unless one is under way.
func (inc *incarnation) step() {
	if inc.stepping {
		return
	}
	took, progress := inc.batch.Begin(inc.Recorder.Now())
	inc.deliver(progress)
	if took == 0 {
		return
	}
	if inc.warmingUp() {
		took *= 2
	}
	if times := inc.slowFactor.Load(); times > 1 {
		took *= time.Duration(times)
	}
	inc.stepping = true
	inc.later(took, func() {
		inc.stepping = false
		inc.deliver(inc.batch.End(inc.Recorder.Now()))
		inc.finishPendingEviction()
		inc.recordReport()
		inc.step()
	})
}

// startWaiting starts queued plain requests while there are free slots.
func (inc *incarnation) startWaiting() {
	for inc.active < inc.Config.Slots && len(inc.waiting) > 0 {
		job := inc.waiting[0]
		inc.waiting = inc.waiting[1:]
		if job.Deadline != 0 && inc.Recorder.Now() >= job.Deadline {
			inc.deliver([]Progress{{Job: job, Expired: true}})
			continue
		}
		if job.HealthCheck {
			inc.deliver([]Progress{{Job: job, Last: true}})
			continue
		}
		inc.active++
		job.running, job.began = true, true
		inc.deliver([]Progress{{Job: job}})
		if job.Hang {
			continue
		}
		took := inc.Config.Work
		if inc.Config.SlowFull > 0 && inc.active*10 >= inc.Config.Slots*9 {
			took = time.Duration(float64(took) * inc.Config.SlowFull)
		}
		if inc.warmingUp() {
			took *= 2
		}
		late := job.Deadline != 0 && inc.Recorder.Now()+clock.Mark(took) > job.Deadline
		if late {
			took = job.Deadline.Since(inc.Recorder.Now())
		}
		inc.later(took, func() {
			if !job.running {
				return
			}
			job.running = false
			inc.active--
			inc.deliver([]Progress{{Job: job, Last: !late, Expired: late}})
			inc.startWaiting()
			inc.recordReport()
		})
	}
}

func (inc *incarnation) deliver(progress []Progress) {
	for _, sign := range progress {
		to := inc.sinks[sign.Job]
		if to == nil {
			continue
		}
		if sign.Job.began && to.arrival != nil {
			inc.Recorder.Record(func(*history.History) {
				if to.arrival.Began == 0 {
					to.arrival.Began = inc.Recorder.Now()
				}
				to.arrival.PrefilledTokens, to.arrival.CachedTokens = sign.Job.PrefilledTokens, sign.Job.CachedTokens
			})
		}
		if sign.Preempted {
			continue
		}
		to.progress <- sign
		if sign.Last || sign.Expired {
			close(to.progress)
			delete(inc.sinks, sign.Job)
		}
	}
}
