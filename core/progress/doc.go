// Package progress measures the speed of runs from the progress that executors list. It answers the
// load of tasks from under a second to hours, whose progress is listed in whole percents.
package progress
