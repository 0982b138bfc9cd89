package endpoint

import "oleandervalve"

// SetEvacuations replaces the set of evacuated data centres. Their endpoints get no
// requests and their agents no demand; requests in flight are not affected. Credits
// are kept until they expire, so that the endpoints are usable at once after the
// withdrawal. Returning each credit would make the agents grant it again at once.
func (d *Directory) SetEvacuations(list []oleandervalve.DataCentreID) {
	d.evacuated = map[oleandervalve.DataCentreID]bool{}
	for _, dc := range list {
		d.evacuated[dc] = true
	}
	d.rebuild()
}

// Evacuation describes what is left in an evacuated data centre.
type Evacuation struct {
	DataCentre oleandervalve.DataCentreID
	// Endpoints is the number of endpoints that the connected agents of the data
	// centre list.
	Endpoints int
	// InFlight is the number of requests of this entry that are in flight to them.
	InFlight int
}

// Evacuation returns what is left in a data centre.
func (d *Directory) Evacuation(dc oleandervalve.DataCentreID) Evacuation {
	e := Evacuation{DataCentre: dc}
	for _, agent := range d.sortedAgents {
		if agent.location.DataCentre != dc {
			continue
		}
		for _, ep := range agent.sortedEndpoints {
			e.Endpoints++
			e.InFlight += ep.inFlight
		}
	}
	return e
}

// EvacuatedEndpoints counts the endpoints of a service that get no requests only
// because of evacuations.
func (d *Directory) EvacuatedEndpoints(s oleandervalve.ServiceName) int {
	if len(d.evacuated) == 0 {
		return 0
	}
	n := 0
	for _, agent := range d.sortedAgents {
		for _, ep := range agent.sortedEndpoints {
			if ep.status.Service == s && !ep.status.Leaving && d.evacuated[agent.location.DataCentre] {
				n++
			}
		}
	}
	return n
}

// OnlyEvacuated reports whether a service has endpoints and evacuations exclude all
// of them. A request can't be served then before a withdrawal.
func (d *Directory) OnlyEvacuated(s oleandervalve.ServiceName) bool {
	return len(d.services[s]) == 0 && d.EvacuatedEndpoints(s) > 0
}
