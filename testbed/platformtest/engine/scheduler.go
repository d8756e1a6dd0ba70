package engine

import (
	"slices"
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/testbed/platformtest/history"
)

// submit hands a job to the batch; the signs of it come on the channel. The second is false if it was turned away.
func (l *incarnation) submit(job *Job, arrival *history.Arrival) (<-chan Progress, bool) {
	to := &sink{progress: make(chan Progress, 4+job.tokens(max(1, l.Config.Pace.Stride))), arrival: arrival}
	taken := false
	l.do(func() {
		l.jobCount++
		job.Number = l.jobCount
		if l.Config.Model {
			taken = l.batch.Submit(job)
		} else {
			taken = l.active < l.Config.Slots || len(l.waiting) < l.Config.Waiting
		}
		if !taken {
			return
		}
		l.sinks[job] = to
		if l.Config.Model {
			l.step()
		} else {
			l.waiting = append(l.waiting, job)
			l.startWaiting()
		}
		l.recordReport()
	})
	return to.progress, taken
}

// cancel forgets a job whose caller has gone.
func (l *incarnation) cancel(job *Job) {
	l.do(func() {
		if l.sinks[job] == nil {
			return
		}
		delete(l.sinks, job)
		if l.Config.Model {
			l.batch.Remove(job)
		} else if job.running {
			job.running = false
			l.active--
			l.startWaiting()
		} else {
			l.waiting = slices.DeleteFunc(l.waiting, func(other *Job) bool { return other == job })
		}
		l.finishPendingEviction()
		l.recordReport()
	})
}

// step starts a step of the batch unless one is under way.
func (l *incarnation) step() {
	if l.stepping {
		return
	}
	took, progress := l.batch.Begin(l.Recorder.Now())
	l.deliver(progress)
	if took == 0 {
		return
	}
	if l.warmingUp() {
		took *= 2
	}
	if times := l.slowFactor.Load(); times > 1 {
		took *= time.Duration(times)
	}
	l.stepping = true
	l.later(took, func() {
		l.stepping = false
		l.deliver(l.batch.End(l.Recorder.Now()))
		l.finishPendingEviction()
		l.recordReport()
		l.step()
	})
}

// startWaiting gives waiting plain requests slots.
func (l *incarnation) startWaiting() {
	for l.active < l.Config.Slots && len(l.waiting) > 0 {
		job := l.waiting[0]
		l.waiting = l.waiting[1:]
		if job.Deadline != 0 && l.Recorder.Now() >= job.Deadline {
			l.deliver([]Progress{{Job: job, Expired: true}})
			continue
		}
		if job.HealthCheck {
			l.deliver([]Progress{{Job: job, Last: true}})
			continue
		}
		l.active++
		job.running, job.began = true, true
		l.deliver([]Progress{{Job: job}})
		if job.Hang {
			continue
		}
		took := l.Config.Work
		if l.Config.SlowFull > 0 && l.active*10 >= l.Config.Slots*9 {
			took = time.Duration(float64(took) * l.Config.SlowFull)
		}
		if l.warmingUp() {
			took *= 2
		}
		late := job.Deadline != 0 && l.Recorder.Now()+clock.Mark(took) > job.Deadline
		if late {
			took = job.Deadline.Since(l.Recorder.Now())
		}
		l.later(took, func() {
			if !job.running {
				return
			}
			job.running = false
			l.active--
			l.deliver([]Progress{{Job: job, Last: !late, Expired: late}})
			l.startWaiting()
			l.recordReport()
		})
	}
}

func (l *incarnation) deliver(progress []Progress) {
	for _, sign := range progress {
		to := l.sinks[sign.Job]
		if to == nil {
			continue
		}
		if sign.Job.began && to.arrival != nil {
			l.Recorder.Record(func(*history.History) {
				if to.arrival.Began == 0 {
					to.arrival.Began = l.Recorder.Now()
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
			delete(l.sinks, sign.Job)
		}
	}
}
