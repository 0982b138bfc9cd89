package entry

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"oleandervalve"
	"oleandervalve/core/operator"
	"oleandervalve/io/operatorhttp"
)

// reasonEvacuating is the reason of requests that are refused because every endpoint
// of their service is in an evacuated data centre.
const reasonEvacuating = oleandervalve.Reason("evacuating")

// applyEvacuations applies the evacuations in force to the entry and its tasks, and
// logs those that have begun and ended. It is called for each applied revision.
func (c *Configuration) applyEvacuations(list []operator.Evacuation) {
	before := c.entry.setEvacuations(list)
	var withdrawn map[oleandervalve.DataCentreID]int
	if c.tasks != nil {
		withdrawn = c.tasks.SetEvacuations(dataCentres(list))
	}
	for _, n := range withdrawn {
		c.entry.scope.Counter("evacuation_starts_withdrawn").Inc(int64(n))
	}
	for _, x := range list {
		if !containsDataCentre(before, x.DataCentre) {
			s := c.describeEvacuation(x)
			log := c.evacuationLog(s).WithField("startsWithdrawn", withdrawn[x.DataCentre])
			if s.Workers+s.Endpoints == 0 {
				log.Warn("evacuated data centre has no known worker or endpoint")
			} else {
				log.Info("evacuation of a data centre has begun")
			}
		}
	}
	for _, x := range before {
		if !containsDataCentre(list, x.DataCentre) {
			c.evacuationLog(c.describeEvacuation(x)).Info("evacuation of a data centre has ended")
		}
	}
	if len(before) > 0 && len(list) == 0 {
		c.publishEvacuations(nil)
	}
}

func (c *Configuration) evacuationLog(s operatorhttp.EvacuationStatus) *logrus.Entry {
	return c.entry.log.WithFields(logrus.Fields{
		"dataCentre": s.DataCentre, "revision": s.Revision, "reason": s.Reason, "workers": s.Workers,
		"endpoints": s.Endpoints, "tasks": s.Tasks, "latencyCritical": s.LatencyCritical, "requestsInFlight": s.InFlight,
	})
}

// evacuationStatus returns what is left in the data centres whose evacuation is
// applied.
func (c *Configuration) evacuationStatus() []operatorhttp.EvacuationStatus {
	c.entry.mu.Lock()
	list := c.entry.evacuations
	c.entry.mu.Unlock()
	var out []operatorhttp.EvacuationStatus
	for _, x := range list {
		out = append(out, c.describeEvacuation(x))
	}
	return out
}

func (c *Configuration) describeEvacuation(x operator.Evacuation) operatorhttp.EvacuationStatus {
	c.entry.mu.Lock()
	d := c.entry.directory.Evacuation(x.DataCentre)
	c.entry.mu.Unlock()
	s := operatorhttp.EvacuationStatus{Evacuation: x, Endpoints: d.Endpoints, InFlight: d.InFlight}
	if c.tasks != nil {
		t := c.tasks.Evacuation(x.DataCentre)
		s.Workers, s.Tasks, s.LatencyCritical = t.Workers, t.Tasks, t.LatencyCritical
	}
	return s
}

// measureEvacuations updates the gauges while an evacuation is in force.
func (c *Configuration) measureEvacuations() {
	if list := c.evacuationStatus(); len(list) > 0 {
		c.publishEvacuations(list)
	}
}

func (c *Configuration) publishEvacuations(list []operatorhttp.EvacuationStatus) {
	tasks, requests := 0, 0
	for _, s := range list {
		tasks += s.Tasks
		requests += s.InFlight
	}
	c.entry.scope.Gauge("evacuated_data_centres").Update(float64(len(list)))
	c.entry.scope.Gauge("evacuated_tasks").Update(float64(tasks))
	c.entry.scope.Gauge("evacuated_requests").Update(float64(requests))
}

// setEvacuations replaces the evacuations and returns those before. Requests that
// wait get the credits of endpoints whose evacuation has ended at once.
func (e *Entry) setEvacuations(list []operator.Evacuation) []operator.Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.evacuations
	e.evacuations = list
	if slices.Equal(dataCentres(before), dataCentres(list)) {
		return before
	}
	e.directory.SetEvacuations(dataCentres(list))
	now := e.clock.Now()
	for name, s := range e.services {
		s.queue.SetCapacity(e.directory.Slots(name))
		e.assignQueued(now, name)
	}
	return before
}

// refuseEvacuated refuses the waiting requests of a service if every endpoint of it is
// in an evacuated data centre, so that they don't wait until their deadline. The
// caller holds the lock.
func (e *Entry) refuseEvacuated(name oleandervalve.ServiceName, s *serviceState) {
	if s.queue.Len() == 0 || !e.directory.OnlyEvacuated(name) {
		return
	}
	for id, c := range e.waiting {
		if !s.queue.Remove(id) {
			continue
		}
		delete(e.waiting, id)
		c <- allocatedSlot{refused: &oleandervalve.NotRunError{
			Reason: reasonEvacuating, Remedy: "every endpoint of the service is in an evacuated data centre; send the request again later", RetryAfter: time.Second,
		}}
	}
}

func dataCentres(list []operator.Evacuation) []oleandervalve.DataCentreID {
	var out []oleandervalve.DataCentreID
	for _, x := range list {
		out = append(out, x.DataCentre)
	}
	return out
}

func containsDataCentre(list []operator.Evacuation, dc oleandervalve.DataCentreID) bool {
	return slices.ContainsFunc(list, func(x operator.Evacuation) bool { return x.DataCentre == dc })
}
