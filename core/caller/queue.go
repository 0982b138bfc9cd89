package caller

import (
	"container/heap"
	"sort"
	"time"

	"oleandervalve"
	"oleandervalve/core/credit"
)

// Request is one waiting request.
type Request struct {
	ID       oleandervalve.RequestID
	Class    oleandervalve.ClassName
	Team     oleandervalve.TeamID
	Caller   oleandervalve.CallerID
	Arrived  time.Time
	Deadline time.Time
	// ByArrival serves the request in order of arrival and skips the deadline
	// check at admission. The baseline for comparison uses it.
	ByArrival bool
}

// ClassPolicy configures the share of capacity and the queue bounds of one class.
type ClassPolicy struct {
	Class oleandervalve.ClassName `json:"class" yaml:"class"`
	// Weight is the relative share of the class in the capacity beyond the floors.
	Weight float64 `json:"weight" yaml:"weight"`
	// Floor is the guaranteed share of capacity, from 0 to 1.
	Floor float64 `json:"floor" yaml:"floor"`
	// MaxQueued bounds the number of waiting requests of the class.
	MaxQueued int `json:"maxQueued" yaml:"maxQueued"`
	// MaxQueuedPerTeam bounds the number of waiting requests of one team in the
	// class.
	MaxQueuedPerTeam int `json:"maxQueuedPerTeam" yaml:"maxQueuedPerTeam"`
	// MaxQueuedPerCaller bounds the number of waiting requests of one caller in
	// the class.
	MaxQueuedPerCaller int `json:"maxQueuedPerCaller" yaml:"maxQueuedPerCaller"`
}

// ClassWaiting counts the waiting requests of one class.
type ClassWaiting struct {
	Class   oleandervalve.ClassName
	Waiting int
	// Teams is the number of teams with waiting requests in the class.
	Teams int
}

const (
	defaultMaxQueued = 10_000
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// classQueue is the queue of one class with its policy and measured service rate.
type classQueue struct {
	flow     flow
	policy   ClassPolicy
	inPolicy bool
	rate     serviceRate
}

// Queue holds the waiting requests of one service at one entry.
type Queue struct {
	classes map[oleandervalve.ClassName]*classQueue
	// byName lists the classes by name.
	byName      []*classQueue
	configured  bool
	teamWeights map[oleandervalve.TeamID]float64
	items       map[oleandervalve.RequestID]*item
	expiry      expiryHeap
	expired     []Request // to be returned by Expire
	shares      *credit.Shares
	running     int // popped requests that have not ended
	capacity    int
	sequence    uint64
	freeItems   []*item // removed items, for reuse by newItem
	// candidates and candidateQueues are buffers that nextClass reuses.
	candidates      []oleandervalve.ClassName
	candidateQueues []*classQueue
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		classes: map[oleandervalve.ClassName]*classQueue{},
		items:   map[oleandervalve.RequestID]*item{},
		shares:  credit.NewShares(),
	}
}

// Configure replaces the class policies. Waiting requests remain queued. Once
// any policies are set, new requests of other classes are refused.
func (q *Queue) Configure(list []ClassPolicy) {
	for _, c := range q.byName {
		c.inPolicy = false
	}
	shares := make([]credit.ClassShare, 0, len(list))
	for _, p := range list {
		c := q.classQueueFor(p.Class)
		c.policy, c.inPolicy = p, true
		shares = append(shares, credit.ClassShare{Class: p.Class, Weight: p.Weight, Floor: p.Floor})
	}
	q.configured = len(list) > 0
	q.shares.Configure(shares)
}

// ConfigureTeams replaces the weights of the teams; teams that are not listed
// have weight 1. The new weight of a team with waiting requests applies once its
// queue has become empty.
func (q *Queue) ConfigureTeams(weights map[oleandervalve.TeamID]float64) { q.teamWeights = weights }

// SetCapacity sets the number of slots of the service's ready endpoints.
func (q *Queue) SetCapacity(slots int) { q.capacity = slots }

// classQueueFor returns the queue of a class and creates it if absent.
func (q *Queue) classQueueFor(n oleandervalve.ClassName) *classQueue {
	c := q.classes[n]
	if c == nil {
		c = &classQueue{policy: ClassPolicy{Class: n}}
		q.classes[n] = c
		at := sort.Search(len(q.byName), func(i int) bool { return q.byName[i].policy.Class > n })
		q.byName = append(q.byName, nil)
		copy(q.byName[at+1:], q.byName[at:])
		q.byName[at] = c
	}
	return c
}

func (q *Queue) teamWeight(t oleandervalve.TeamID) float64 {
	if w := q.teamWeights[t]; w > 0 {
		return w
	}
	return 1
}

// Push adds a request or refuses it with a *oleandervalve.NotRunError.
func (q *Queue) Push(now time.Time, r Request) error {
	if !r.Deadline.After(now) {
		return &oleandervalve.NotRunError{Reason: "deadlinePassed", Remedy: "send the request with a longer timeout"}
	}
	if q.items[r.ID] != nil {
		return &oleandervalve.NotRunError{Reason: "duplicateRequest", Remedy: "send each request under its own id"}
	}
	if q.configured && (q.classes[r.Class] == nil || !q.classes[r.Class].inPolicy) {
		return &oleandervalve.NotRunError{Reason: "unknownClass", Remedy: "use a class that the service's policy names"}
	}
	q.sweepExpired(now)
	c := q.classQueueFor(r.Class)
	if err := q.checkAdmission(now, c, r); err != nil {
		return err
	}
	q.add(now, c, r)
	return nil
}

// Requeue puts back a request that was popped and certainly did not run. The request
// keeps its place in the order, is exempt from the queue bounds and is refused
// only if its deadline has passed.
func (q *Queue) Requeue(now time.Time, r Request) error {
	q.Abandoned(now, r.Class)
	if !r.Deadline.After(now) {
		return &oleandervalve.NotRunError{Reason: "deadlinePassed", Remedy: "send the request with a longer timeout"}
	}
	if q.items[r.ID] != nil {
		return nil
	}
	c := q.classQueueFor(r.Class)
	callerFlow := c.callerFlow(q, r)
	callerFlow.refund()
	q.add(now, c, r)
	return nil
}

// callerFlow returns the flow of a request's caller and creates it if absent.
func (c *classQueue) callerFlow(q *Queue, r Request) *flow {
	return c.flow.child(string(r.Team), q.teamWeight(r.Team)).child(string(r.Caller), 1)
}

// add queues a request that was admitted.
func (q *Queue) add(now time.Time, c *classQueue, r Request) {
	it := q.newItem()
	q.sequence++
	*it = item{request: r, sequence: q.sequence, callerFlow: c.callerFlow(q, r)}
	q.items[r.ID] = it
	heap.Push(&it.callerFlow.requests, it)
	it.callerFlow.updateSize(1)
	heap.Push(&q.expiry, it)
	c.rate.advance(now, c.flow.size)
}

func (q *Queue) newItem() *item {
	if n := len(q.freeItems); n > 0 {
		it := q.freeItems[n-1]
		q.freeItems = q.freeItems[:n-1]
		return it
	}
	return &item{}
}

// checkAdmission returns an error if a request exceeds a queue bound or is not
// expected to meet its deadline.
func (q *Queue) checkAdmission(now time.Time, c *classQueue, r Request) error {
	team, callerFlow := c.lookup(r)
	p := c.policy
	limit := p.MaxQueued
	if limit <= 0 {
		limit = defaultMaxQueued
	}
	// A team may have as many waiting requests as the class has free places, so
	// that one team can't fill the queue and other teams always find a place. The
	// callers of a team are limited in the same way.
	teamLimit := max(1, limit-c.flow.size)
	if p.MaxQueuedPerTeam > 0 {
		teamLimit = min(teamLimit, p.MaxQueuedPerTeam)
	}
	callerLimit := max(1, teamLimit-sizeOf(team))
	if p.MaxQueuedPerCaller > 0 {
		callerLimit = min(callerLimit, p.MaxQueuedPerCaller)
	}
	wait, measured := c.estimateWait(q, now, r, team, callerFlow)
	retry := time.Second
	if measured {
		retry = wait
	}
	switch {
	case c.flow.size >= limit:
		return newRefusal("queueFull", "retry after the given time", retry)
	case sizeOf(team) >= teamLimit:
		return newRefusal("teamQueueFull", "retry after the given time, or spread the team's requests over time", retry)
	case sizeOf(callerFlow) >= callerLimit:
		return newRefusal("callerQueueFull", "retry after the given time, or send fewer requests at once", retry)
	case !r.ByArrival && c.flow.size > 0 && measured && now.Add(q.requiredTime(r.Class, wait)).After(r.Deadline):
		shortfall := q.requiredTime(r.Class, wait) - r.Deadline.Sub(now)
		return newRefusal("deadlineTooShort", "retry after the given time or with a longer timeout", shortfall)
	}
	return nil
}

// requiredTime returns the time in which a request is likely to be answered: the
// estimated wait plus a tenth for the estimation error, plus twice the mean
// service time, because requests served just before their deadline waste their
// slots.
func (q *Queue) requiredTime(class oleandervalve.ClassName, wait time.Duration) time.Duration {
	return wait + wait/10 + 2*q.shares.MeanServiceTime(class)
}

// cannotMeetDeadline reports whether a waiting request has less time left than
// the mean service time of its class. Requests whose total time was less than
// twice that mean on arrival are exempt.
func (q *Queue) cannotMeetDeadline(now time.Time, r Request) bool {
	mean := q.shares.MeanServiceTime(r.Class)
	return !r.ByArrival && r.Deadline.Sub(now) < mean && r.Deadline.Sub(r.Arrived) >= 2*mean
}

// newRefusal returns the error of a refused request, with a bounded RetryAfter.
func newRefusal(reason oleandervalve.Reason, remedy string, retry time.Duration) error {
	return &oleandervalve.NotRunError{
		Reason: reason, Remedy: remedy,
		RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter),
	}
}

// sizeOf returns the number of waiting requests of a flow, 0 for nil.
func sizeOf(f *flow) int {
	if f == nil {
		return 0
	}
	return f.size
}

// lookup returns the flows of a request's team and caller, or nil for a flow
// that does not exist.
func (c *classQueue) lookup(r Request) (team, callerFlow *flow) {
	if team = c.flow.children[string(r.Team)]; team != nil {
		callerFlow = team.children[string(r.Caller)]
	}
	return team, callerFlow
}

// estimateWait estimates how long a new request would wait: the number of
// requests that fair queueing serves up to and including it, divided by the
// measured service rate of the class. It returns false if no rate is known.
func (c *classQueue) estimateWait(q *Queue, now time.Time, r Request, team, callerFlow *flow) (time.Duration, bool) {
	c.rate.advance(now, c.flow.size)
	interval, ok := c.rate.interval()
	if !ok {
		return 0, false
	}
	callers := 1.0
	if team != nil {
		callers = team.activeWeight
		if sizeOf(callerFlow) == 0 {
			callers++
		}
	}
	weight := q.teamWeight(r.Team)
	teams := c.flow.activeWeight
	if sizeOf(team) == 0 {
		teams += weight
	}
	// inTeam and inClass are the numbers of requests of the team and of the class that
	// are served up to and including the new one.
	inTeam := min(float64(sizeOf(team)+1), float64(sizeOf(callerFlow)+1)*callers)
	inClass := min(float64(c.flow.size+1), inTeam*teams/weight)
	return time.Duration(inClass * float64(interval)), true
}

// Pop removes and returns the request to serve next from the given class, or
// from any class if class is empty.
func (q *Queue) Pop(now time.Time, class oleandervalve.ClassName) (Request, bool) {
	q.sweepExpired(now)
	c := q.nextClass(now, class)
	for c != nil && q.cannotMeetDeadline(now, c.flow.head().request) {
		q.markExpired(now, c.flow.head())
		c = q.nextClass(now, class)
	}
	if c == nil {
		return Request{}, false
	}
	it := c.flow.head()
	r := it.request
	it.callerFlow.charge()
	q.remove(it)
	q.running++
	q.shares.Take(now, r.Class, q.running)
	c.rate.advance(now, c.flow.size)
	c.rate.served++
	return r, true
}

// nextClass chooses the class to serve. It applies the floors to the slots that
// this entry itself uses; the grants of the agents enforce them over all entries.
func (q *Queue) nextClass(now time.Time, class oleandervalve.ClassName) *classQueue {
	if class != "" {
		if c := q.classes[class]; c != nil && c.flow.size > 0 {
			return c
		}
		return nil
	}
	q.candidates, q.candidateQueues = q.candidates[:0], q.candidateQueues[:0]
	for _, c := range q.byName {
		if c.flow.size > 0 {
			q.candidates = append(q.candidates, c.policy.Class)
			q.candidateQueues = append(q.candidateQueues, c)
		}
	}
	if i := q.shares.Next(now, q.running+1, q.candidates); i >= 0 {
		return q.candidateQueues[i]
	}
	return nil
}

// remove takes a request out of all heaps and frees its item.
func (q *Queue) remove(it *item) {
	delete(q.items, it.request.ID)
	heap.Remove(&q.expiry, it.expiryIndex)
	heap.Remove(&it.callerFlow.requests, it.flowIndex)
	it.callerFlow.updateSize(-1)
	*it = item{}
	q.freeItems = append(q.freeItems, it)
}

// Remove removes a request from the queue and reports whether it was waiting.
func (q *Queue) Remove(id oleandervalve.RequestID) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	c := q.classes[it.request.Class]
	q.remove(it)
	if c.flow.size == 0 {
		c.rate.backlogSince = time.Time{}
	}
	return true
}

// sweepExpired marks the requests past their deadline as expired, for Expire to
// return.
func (q *Queue) sweepExpired(now time.Time) {
	for len(q.expiry) > 0 && !q.expiry[0].request.Deadline.After(now) {
		q.markExpired(now, q.expiry[0])
	}
}

func (q *Queue) markExpired(now time.Time, it *item) {
	c := q.classes[it.request.Class]
	q.expired = append(q.expired, it.request)
	q.remove(it)
	c.rate.advance(now, c.flow.size)
}

// Expire removes and returns the requests whose deadline has passed and those
// that Pop skipped because they could no longer meet their deadline.
func (q *Queue) Expire(now time.Time) []Request {
	q.sweepExpired(now)
	out := q.expired
	q.expired = nil
	return out
}

// NextExpiry returns the next time at which Expire returns a request, or false
// if no requests are queued.
func (q *Queue) NextExpiry(now time.Time) (time.Time, bool) {
	switch {
	case len(q.expired) > 0:
		return now, true
	case len(q.expiry) > 0:
		return q.expiry[0].request.Deadline, true
	}
	return time.Time{}, false
}

// Finished records that a popped request of a class has ended, and how long it
// held its slot.
func (q *Queue) Finished(now time.Time, class oleandervalve.ClassName, held time.Duration) {
	q.running = max(0, q.running-1)
	q.shares.Done(now, class, held)
}

// Abandoned records that a popped request of a class did not run. Requeue calls
// it for requests that are put back.
func (q *Queue) Abandoned(now time.Time, class oleandervalve.ClassName) {
	q.running = max(0, q.running-1)
	q.shares.Undo(now, class, 0)
}

// Waiting returns the number of waiting requests per class, ordered by class
// name.
func (q *Queue) Waiting() []ClassWaiting {
	var out []ClassWaiting
	for _, c := range q.byName {
		if c.flow.size > 0 {
			out = append(out, ClassWaiting{Class: c.policy.Class, Waiting: c.flow.size, Teams: len(c.flow.active)})
		}
	}
	return out
}

// Demand returns the waiting requests per class as demand for a service.
func (q *Queue) Demand(service oleandervalve.ServiceName) []credit.Demand {
	var out []credit.Demand
	for _, c := range q.Waiting() {
		out = append(out, credit.Demand{Service: service, Class: c.Class, Waiting: c.Waiting, Teams: c.Teams})
	}
	return out
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }
