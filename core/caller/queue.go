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
	// ByArrival serves the request in the order of arrival and skips the check
	// of its deadline on entering, as the baseline does.
	ByArrival bool
}

// ClassPolicy is the share and the bounds of one class.
type ClassPolicy struct {
	Class oleandervalve.ClassName `json:"class" yaml:"class"`
	// Weight is the class's share of capacity beyond the floors.
	Weight float64 `json:"weight" yaml:"weight"`
	// Floor is the guaranteed share of capacity, from 0 to 1.
	Floor float64 `json:"floor" yaml:"floor"`
	// MaxQueued bounds the waiting requests of the class.
	MaxQueued int `json:"maxQueued" yaml:"maxQueued"`
	// MaxQueuedPerTeam bounds the waiting requests of one team in the class.
	MaxQueuedPerTeam int `json:"maxQueuedPerTeam" yaml:"maxQueuedPerTeam"`
	// MaxQueuedPerCaller bounds the waiting requests of one caller in the class.
	MaxQueuedPerCaller int `json:"maxQueuedPerCaller" yaml:"maxQueuedPerCaller"`
}

// ClassWaiting counts the waiting requests of one class.
type ClassWaiting struct {
	Class   oleandervalve.ClassName
	Waiting int
	// Teams counts the teams that the requests belong to.
	Teams int
}

const (
	defaultMaxQueued = 10_000
	// minRetryAfter and maxRetryAfter bound the retry time of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// classQueue is one class with its policy and its measured service rate.
type classQueue struct {
	flow   flow
	policy ClassPolicy
	known  bool
	rate   rate
}

// Queue holds the waiting requests of one service at one entry.
type Queue struct {
	classes map[oleandervalve.ClassName]*classQueue
	// order lists the classes by name.
	order       []*classQueue
	configured  bool
	teamWeights map[oleandervalve.TeamID]float64
	items       map[oleandervalve.RequestID]*item
	expiry      expiryHeap
	expired     []Request
	shares      *credit.Shares
	running     int
	capacity    int
	sequence    uint64
	free        []*item
	candidates  []oleandervalve.ClassName
	indices     []*classQueue
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		classes: map[oleandervalve.ClassName]*classQueue{},
		items:   map[oleandervalve.RequestID]*item{},
		shares:  credit.NewShares(),
	}
}

// Configure replaces the class policies; waiting requests stay. Once policies
// are set, requests of other classes are refused.
func (q *Queue) Configure(list []ClassPolicy) {
	for _, c := range q.order {
		c.known = false
	}
	shares := make([]credit.ClassShare, 0, len(list))
	for _, p := range list {
		c := q.class(p.Class)
		c.policy, c.known = p, true
		shares = append(shares, credit.ClassShare{Class: p.Class, Weight: p.Weight, Floor: p.Floor})
	}
	q.configured = len(list) > 0
	q.shares.Configure(shares)
}

// ConfigureTeams replaces the weights of the teams; others have weight 1. A
// team with waiting requests changes its weight when it has none left.
func (q *Queue) ConfigureTeams(weights map[oleandervalve.TeamID]float64) { q.teamWeights = weights }

// SetCapacity tells the number of slots of the service's ready endpoints.
func (q *Queue) SetCapacity(slots int) { q.capacity = slots }

func (q *Queue) class(n oleandervalve.ClassName) *classQueue {
	c := q.classes[n]
	if c == nil {
		c = &classQueue{policy: ClassPolicy{Class: n}}
		q.classes[n] = c
		at := sort.Search(len(q.order), func(i int) bool { return q.order[i].policy.Class > n })
		q.order = append(q.order, nil)
		copy(q.order[at+1:], q.order[at:])
		q.order[at] = c
	}
	return c
}

func (q *Queue) teamWeight(t oleandervalve.TeamID) float64 {
	if w := q.teamWeights[t]; w > 0 {
		return w
	}
	return 1
}

// Push adds a request, or refuses it with a *oleandervalve.NotRunError.
func (q *Queue) Push(now time.Time, r Request) error {
	if !r.Deadline.After(now) {
		return &oleandervalve.NotRunError{Reason: "deadlinePassed", Remedy: "send the request with a longer timeout"}
	}
	if q.items[r.ID] != nil {
		return &oleandervalve.NotRunError{Reason: "duplicateRequest", Remedy: "send each request under its own id"}
	}
	if q.configured && (q.classes[r.Class] == nil || !q.classes[r.Class].known) {
		return &oleandervalve.NotRunError{Reason: "unknownClass", Remedy: "use a class that the service's policy names"}
	}
	q.sweep(now)
	c := q.class(r.Class)
	if err := q.admissible(now, c, r); err != nil {
		return err
	}
	q.add(now, c, r)
	return nil
}

// Requeue puts back a request that was popped but provably not run; it keeps
// its turn and no bound applies. It is refused only after its deadline.
func (q *Queue) Requeue(now time.Time, r Request) error {
	q.Abandoned(now, r.Class)
	if !r.Deadline.After(now) {
		return &oleandervalve.NotRunError{Reason: "deadlinePassed", Remedy: "send the request with a longer timeout"}
	}
	if q.items[r.ID] != nil {
		return nil
	}
	c := q.class(r.Class)
	leaf := c.leaf(q, r)
	leaf.refund()
	q.add(now, c, r)
	return nil
}

func (c *classQueue) leaf(q *Queue, r Request) *flow {
	return c.flow.child(string(r.Team), q.teamWeight(r.Team)).child(string(r.Caller), 1)
}

func (q *Queue) add(now time.Time, c *classQueue, r Request) {
	it := q.item()
	q.sequence++
	*it = item{request: r, sequence: q.sequence, leaf: c.leaf(q, r)}
	q.items[r.ID] = it
	heap.Push(&it.leaf.requests, it)
	it.leaf.changed(1)
	heap.Push(&q.expiry, it)
	c.rate.advance(now, c.flow.size)
}

func (q *Queue) item() *item {
	if n := len(q.free); n > 0 {
		it := q.free[n-1]
		q.free = q.free[:n-1]
		return it
	}
	return &item{}
}

// admissible refuses a request beyond the bounds or that can't meet its deadline.
func (q *Queue) admissible(now time.Time, c *classQueue, r Request) error {
	team, leaf := c.existing(r)
	p := c.policy
	limit := p.MaxQueued
	if limit <= 0 {
		limit = defaultMaxQueued
	}
	// A team may hold as many requests as there are places left, so that one
	// team can't fill the class and others always find a place; the same holds
	// for the callers of a team.
	teamLimit := max(1, limit-c.flow.size)
	if p.MaxQueuedPerTeam > 0 {
		teamLimit = min(teamLimit, p.MaxQueuedPerTeam)
	}
	callerLimit := max(1, teamLimit-size(team))
	if p.MaxQueuedPerCaller > 0 {
		callerLimit = min(callerLimit, p.MaxQueuedPerCaller)
	}
	wait, measured := c.wait(q, now, r, team, leaf)
	retry := time.Second
	if measured {
		retry = wait
	}
	switch {
	case c.flow.size >= limit:
		return full("queueFull", "retry after the given time", retry)
	case size(team) >= teamLimit:
		return full("teamQueueFull", "retry after the given time, or spread the team's requests over time", retry)
	case size(leaf) >= callerLimit:
		return full("callerQueueFull", "retry after the given time, or send fewer requests at once", retry)
	case !r.ByArrival && c.flow.size > 0 && measured && now.Add(q.needed(r.Class, wait)).After(r.Deadline):
		late := q.needed(r.Class, wait) - r.Deadline.Sub(now)
		return full("deadlineTooShort", "retry after the given time or with a longer timeout", late)
	}
	return nil
}

// needed is the time in which a request is answered with fair certainty: the
// estimated wait with a tenth for its error, and twice the mean service time,
// because requests served just before their deadline waste their slots.
func (q *Queue) needed(class oleandervalve.ClassName, wait time.Duration) time.Duration {
	return wait + wait/10 + 2*q.shares.MeanServiceTime(class)
}

// hopeless reports whether a request that has waited has less time left than
// its class needs on average.
func (q *Queue) hopeless(now time.Time, r Request) bool {
	mean := q.shares.MeanServiceTime(r.Class)
	return !r.ByArrival && r.Deadline.Sub(now) < mean && r.Deadline.Sub(r.Arrived) >= 2*mean
}

func full(reason oleandervalve.Reason, remedy string, retry time.Duration) error {
	return &oleandervalve.NotRunError{
		Reason: reason, Remedy: remedy,
		RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter),
	}
}

func size(f *flow) int {
	if f == nil {
		return 0
	}
	return f.size
}

// existing returns the flows of a request's team and caller, or nil.
func (c *classQueue) existing(r Request) (team, leaf *flow) {
	if team = c.flow.children[string(r.Team)]; team != nil {
		leaf = team.children[string(r.Caller)]
	}
	return team, leaf
}

// wait estimates how long a new request would wait: the requests that fair
// queueing serves before it, at the class's measured service rate.
func (c *classQueue) wait(q *Queue, now time.Time, r Request, team, leaf *flow) (time.Duration, bool) {
	c.rate.advance(now, c.flow.size)
	interval, ok := c.rate.interval()
	if !ok {
		return 0, false
	}
	callers := 1.0
	if team != nil {
		callers = team.activeWeight
		if size(leaf) == 0 {
			callers++
		}
	}
	weight := q.teamWeight(r.Team)
	teams := c.flow.activeWeight
	if size(team) == 0 {
		teams += weight
	}
	inTeam := min(float64(size(team)+1), float64(size(leaf)+1)*callers)
	inClass := min(float64(c.flow.size+1), inTeam*teams/weight)
	return time.Duration(inClass * float64(interval)), true
}

// Pop removes the request to serve next; an empty class means any.
func (q *Queue) Pop(now time.Time, class oleandervalve.ClassName) (Request, bool) {
	q.sweep(now)
	c := q.next(now, class)
	for c != nil && q.hopeless(now, c.flow.head().request) {
		q.setAside(now, c.flow.head())
		c = q.next(now, class)
	}
	if c == nil {
		return Request{}, false
	}
	it := c.flow.head()
	r := it.request
	it.leaf.serve()
	q.remove(it)
	q.running++
	q.shares.Take(now, r.Class, q.running)
	c.rate.advance(now, c.flow.size)
	c.rate.served++
	return r, true
}

// next chooses the class to serve. The floors are relative to the slots that
// this entry uses itself; over all entries the agents' grants make them hold.
func (q *Queue) next(now time.Time, class oleandervalve.ClassName) *classQueue {
	if class != "" {
		if c := q.classes[class]; c != nil && c.flow.size > 0 {
			return c
		}
		return nil
	}
	q.candidates, q.indices = q.candidates[:0], q.indices[:0]
	for _, c := range q.order {
		if c.flow.size > 0 {
			q.candidates = append(q.candidates, c.policy.Class)
			q.indices = append(q.indices, c)
		}
	}
	if i := q.shares.Next(now, q.running+1, q.candidates); i >= 0 {
		return q.indices[i]
	}
	return nil
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.request.ID)
	heap.Remove(&q.expiry, it.inExpiry)
	heap.Remove(&it.leaf.requests, it.inFlow)
	it.leaf.changed(-1)
	*it = item{}
	q.free = append(q.free, it)
}

// Remove withdraws a request and reports whether it was still waiting.
func (q *Queue) Remove(id oleandervalve.RequestID) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	c := q.classes[it.request.Class]
	q.remove(it)
	if c.flow.size == 0 {
		c.rate.since = time.Time{}
	}
	return true
}

// sweep sets the requests past their deadline aside for Expire.
func (q *Queue) sweep(now time.Time) {
	for len(q.expiry) > 0 && !q.expiry[0].request.Deadline.After(now) {
		q.setAside(now, q.expiry[0])
	}
}

func (q *Queue) setAside(now time.Time, it *item) {
	c := q.classes[it.request.Class]
	q.expired = append(q.expired, it.request)
	q.remove(it)
	c.rate.advance(now, c.flow.size)
}

// Expire removes and returns the requests whose deadline has passed, and those
// that Pop passed over because too little of their time was left.
func (q *Queue) Expire(now time.Time) []Request {
	q.sweep(now)
	out := q.expired
	q.expired = nil
	return out
}

// NextExpiry returns the time at which Expire has something to return, or
// false if nothing waits.
func (q *Queue) NextExpiry(now time.Time) (time.Time, bool) {
	switch {
	case len(q.expired) > 0:
		return now, true
	case len(q.expiry) > 0:
		return q.expiry[0].request.Deadline, true
	}
	return time.Time{}, false
}

// Finished records how long a popped request of a class held its slot.
func (q *Queue) Finished(now time.Time, class oleandervalve.ClassName, held time.Duration) {
	q.running = max(0, q.running-1)
	q.shares.Done(now, class, held)
}

// Abandoned records that a popped request of a class did not run and is not put back.
func (q *Queue) Abandoned(now time.Time, class oleandervalve.ClassName) {
	q.running = max(0, q.running-1)
	q.shares.Undo(now, class, 0)
}

// Waiting counts the waiting requests by class, in the order of their names.
func (q *Queue) Waiting() []ClassWaiting {
	var out []ClassWaiting
	for _, c := range q.order {
		if c.flow.size > 0 {
			out = append(out, ClassWaiting{Class: c.policy.Class, Waiting: c.flow.size, Teams: len(c.flow.active)})
		}
	}
	return out
}

// Demand counts the waiting requests by class, as the demand for a service.
func (q *Queue) Demand(service oleandervalve.ServiceName) []credit.Demand {
	var out []credit.Demand
	for _, c := range q.Waiting() {
		out = append(out, credit.Demand{Service: service, Class: c.Class, Waiting: c.Waiting, Teams: c.Teams})
	}
	return out
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }
