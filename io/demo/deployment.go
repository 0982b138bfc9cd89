package demo

import (
	"fmt"
	"net/http"
	"time"

	"oleandervalve"
	"oleandervalve/core/caller"
	"oleandervalve/core/credit"
)

// traffic describes one kind of request to a deployment.
type traffic struct {
	class  oleandervalve.ClassName
	method string
	path   string
	// rate is the mean rate in requests per second.
	rate float64
	// weight and floor define the class's share of the service's capacity.
	weight, floor float64
	// keyed requests carry an idempotency key and are retried with it.
	keyed   bool
	teams   int
	timeout time.Duration
}

// deployment describes the fleet of one service.
type deployment struct {
	name        string
	service     oleandervalve.ServiceName
	dataCentres []oleandervalve.DataCentreID
	executors   int
	slots       int
	connections int
	worker      oleandervalve.Resources
	serviceTime time.Duration
	traffic     []traffic
}

const gib = oleandervalve.Bytes(1) << 30

func deployments() []deployment {
	return []deployment{
		{
			name: "kardos", service: "formaro",
			dataCentres: []oleandervalve.DataCentreID{"kardos-1", "kardos-2", "kardos-3"},
			executors:   11, slots: 8, connections: 64,
			worker: oleandervalve.Resources{CPU: 64_000, Memory: 250 * gib}, serviceTime: 20 * time.Millisecond,
			traffic: []traffic{
				{class: "pressing", weight: 8, floor: 0.5, method: http.MethodPost, path: "/instructions", rate: 120, teams: 3, timeout: 2 * time.Second},
				{class: "cutting", weight: 4, floor: 0.2, method: http.MethodGet, path: "/patterns", rate: 60, teams: 2, timeout: 2 * time.Second},
				{class: "dispatch", weight: 2, floor: 0.1, method: http.MethodGet, path: "/exports", rate: 20, teams: 1, timeout: 4 * time.Second},
			},
		},
		{
			name: "riviere", service: "tapbook",
			dataCentres: []oleandervalve.DataCentreID{"riviere-1", "riviere-2", "riviere-3", "riviere-4"},
			executors:   11, slots: 8, connections: 64,
			worker: oleandervalve.Resources{CPU: 16_000, Memory: 60 * gib}, serviceTime: 20 * time.Millisecond,
			traffic: []traffic{
				{class: "booking", weight: 4, floor: 0.4, method: http.MethodPost, path: "/bookings", rate: 100, keyed: true, teams: 6, timeout: 3 * time.Second},
				{class: "hotel", weight: 4, floor: 0.25, method: http.MethodPost, path: "/bookings", rate: 30, keyed: true, teams: 4, timeout: 3 * time.Second},
				{class: "routes", weight: 2, floor: 0.15, method: http.MethodGet, path: "/routes", rate: 30, teams: 2, timeout: 5 * time.Second},
			},
		},
	}
}

// policies returns the class policies of the deployment's service at the entries.
func (d deployment) policies() []caller.ClassPolicy {
	// Callers that name no class get weight 1 and no floor.
	out := []caller.ClassPolicy{{Class: "default", Weight: 1}}
	for _, t := range d.traffic {
		out = append(out, caller.ClassPolicy{Class: t.class, Weight: t.weight, Floor: t.floor})
	}
	return out
}

// shares returns the class shares of the deployment's service at the agents.
func (d deployment) shares() []credit.ClassShare {
	out := []credit.ClassShare{{Class: "default", Weight: 1}}
	for _, t := range d.traffic {
		out = append(out, credit.ClassShare{Class: t.class, Weight: t.weight, Floor: t.floor})
	}
	return out
}

func (d deployment) location(i int) oleandervalve.Location {
	dc := d.dataCentres[i%len(d.dataCentres)]
	return oleandervalve.Location{
		Region: oleandervalve.RegionID(d.name), DataCentre: dc,
		Rack: oleandervalve.RackID(fmt.Sprintf("%s-rack-%d", d.name, i/3)),
	}
}
