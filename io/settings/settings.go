package settings

import (
	"time"

	"oleandervalve"
)

// Role names what a process is.
type Role string

const (
	// RoleEntry accepts calls and routes them.
	RoleEntry Role = "entry"
	// RoleAgent serves one instance.
	RoleAgent Role = "agent"
	// RoleTable is the stand-in of the table service.
	RoleTable Role = "table"
	// RoleObjects is the stand-in of the object store.
	RoleObjects Role = "objects"
	// RolePlatform is the stand-in of the worker platform.
	RolePlatform Role = "platform"
	// RoleEndpoint is the stand-in of an endpoint.
	RoleEndpoint Role = "endpoint"
)

// Settings are the settings of one process with defaults filled in.
type Settings struct {
	Role     Role
	ID       string
	Location oleandervalve.Location
	LogLevel string
	Listen   Listen
	Entries  []string
	Table    Service
	// KeyHome is "yes" if the agent keeps idempotency keys.
	KeyHome  string
	Objects  Service
	Platform Service
	TLS      TLS
	// Authentication says how callers and teams are found: by tokens or, for
	// development, by headers that are trusted.
	Authentication string
	Operators      Operators
	Calls          Calls
	Drain          Drain
	Worker         Worker
	Heartbeat      Heartbeat
	Lease          Lease
	Announcement   Announcement
	Endpoint       Endpoint
	Simulation     Simulation

	// lines holds the line of each field that the file sets.
	lines map[string]int
}

// Listen holds the addresses that a process listens on, as host:port.
type Listen struct {
	Callers, Peers, Operators, Announcements, Metrics, Service string
}

// Service is an external service.
type Service struct {
	URL     string
	Timeout time.Duration
}

// TLS names the files of mutual TLS between processes.
type TLS struct {
	Certificate, Key, Authority string
}

// Authentication modes.
const (
	// AuthenticationTokens finds callers by bearer tokens.
	AuthenticationTokens = "tokens"
	// AuthenticationHeaders trusts the headers that name team and caller; only for development.
	AuthenticationHeaders = "headers"
)

// Operators holds what makes the first operators.
type Operators struct {
	AdminTeam, BootstrapTokenHash string
}

// Calls bounds the calls of callers.
type Calls struct {
	DefaultTimeout time.Duration
	MaxBody        oleandervalve.Bytes
}

// Drain bounds a planned stop.
type Drain struct {
	// Timeout is how long requests in flight may take to end.
	Timeout time.Duration
	// Notice is how long a stopping process stays reachable after it reports
	// that it is not ready, so that its clients turn to others first.
	Notice time.Duration
}

// Worker is the worker that an agent looks after.
type Worker struct {
	ID       string
	Capacity oleandervalve.Resources
}

// Heartbeat holds the times of heartbeats between agent and entry.
type Heartbeat struct {
	Interval, Timeout time.Duration
}

// Lease holds the times of worker and platform leases.
type Lease struct {
	Worker, Renewal, Guard, Platform, PlatformRenewal time.Duration
}

// Announcement holds the times of endpoint announcements.
type Announcement struct {
	Interval, Timeout time.Duration
}

// Endpoint describes an endpoint stand-in.
type Endpoint struct {
	Service     string
	Agent       string
	Slots       int
	Connections int
	ServiceTime time.Duration
}

// Simulation holds what only stand-ins need.
type Simulation struct {
	Workers  []string
	UsageLag time.Duration
	Seed     uint64
}
