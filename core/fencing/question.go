package fencing

import "time"

// Outcome is that of the last question to an executor.
type Outcome int

const (
	// NotAsked means that no question has been sent yet.
	NotAsked Outcome = iota
	// NoAnswer means that the executor hasn't answered.
	NoAnswer
	// Answered means that an incarnation has answered, which has thereby seen the token.
	Answered
	// AnsweredAtOnce means the same of one that won't keep a question open, as it lists ended runs,
	// has seen a newer token or has another id.
	AnsweredAtOnce
)

// Question says when and how an executor is asked.
type Question struct {
	// Delay is the time until the question is sent, and Wait how long the executor may keep it open.
	Delay, Wait time.Duration
}

const (
	// interval is the time between two questions to an executor that doesn't answer. It limits how
	// long a new incarnation accepts earlier start orders.
	interval = 2 * time.Millisecond
	// openWait keeps a connection open, whose loss shows that an incarnation has ended.
	openWait = time.Second
	// answeredInterval is the time between two questions that the executor doesn't keep open.
	answeredInterval = 100 * time.Millisecond
)

// Next returns the question that follows one with the given outcome.
func Next(last Outcome) Question {
	switch last {
	case NoAnswer:
		return Question{Delay: interval}
	case Answered:
		return Question{Wait: openWait}
	case AnsweredAtOnce:
		return Question{Delay: answeredInterval}
	}
	return Question{}
}
