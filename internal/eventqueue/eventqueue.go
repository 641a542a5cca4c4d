// Package eventqueue runs functions in the order of simulated times, for the replays in tests.
package eventqueue

import (
	"container/heap"
	"time"
)

// A Queue is a simulated clock and the functions that are scheduled on it. The zero Queue is at time zero and
// ready to use. It is not safe for concurrent use.
type Queue struct {
	now       time.Duration
	events    events
	scheduled int
}

// Now returns the simulated time.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules do at a time from now. Functions with the same time run in the order in which they were
// scheduled.
func (q *Queue) After(wait time.Duration, do func()) {
	q.scheduled++
	heap.Push(&q.events, event{at: q.now + wait, number: q.scheduled, do: do})
}

// Run runs the functions that are scheduled before end, and those that they schedule.
func (q *Queue) Run(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at < end {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.do()
	}
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
