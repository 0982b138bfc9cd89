// Package crash finds the tasks that crash the executors on which they start.
//
// A Log records, beside one executor, which runs the executor has. When the executor
// crashes, the log tells which runs it had and what is known of each. The leader adds
// that to the History of each task, which is stored with the task's job, and decides with
// it whether a further run of the task is isolated from other starts and whether the task
// is given up.
package crash
