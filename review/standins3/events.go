package main

import "time"

// awaitBegin waits until run n of a task has begun.
func (d *deployment) awaitBegin(timeout time.Duration, task string, n int) (event, bool) {
	var x event
	ok := d.await(timeout, func(events []event) bool {
		k := 0
		for _, e := range events {
			if e.What == "begun" && e.Task == task {
				x = e
				k++
			}
		}
		return k >= n
	})
	return x, ok
}
