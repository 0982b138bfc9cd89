package settings

import (
	"time"

	"oleandervalve"
)

// Role is the function of a process.
type Role string

const (
	// RoleEntry accepts calls and routes them.
	RoleEntry Role = "entry"
	// RoleAgent runs on an instance and serves it.
	RoleAgent Role = "agent"
	// RoleTable is a stand-in for the table service.
	RoleTable Role = "table"
	// RoleObjects is a stand-in for the object store.
	RoleObjects Role = "objects"
	// RolePlatform is a stand-in for the worker platform.
	RolePlatform Role = "platform"
	// RoleEndpoint is a stand-in for an endpoint.
	RoleEndpoint Role = "endpoint"
)

// Settings holds the settings of one process with defaults filled in.
type Settings struct {
	Role     Role
	ID       string
	Location oleandervalve.Location
	LogLevel string
	Listen   Listen
	Entries  []string
	Table    Service
	// StoreKeys is "yes" if the agent stores idempotency keys, else "no". In the
	// file the field is keys.home.
	StoreKeys string
	Objects   Service
	Platform  Service
	TLS       TLS
	// Authentication is the mode by which callers and teams are identified:
	// AuthenticationTokens or, for development, AuthenticationHeaders.
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

	// lines maps the name of each field that the file sets to its line number.
	lines map[string]int
}

// Listen holds the addresses that a process listens on, as host:port.
type Listen struct {
	Callers, Peers, Operators, Announcements, Metrics, Service string
}

// Service holds the address of an external service and the timeout of calls to
// it.
type Service struct {
	URL     string
	Timeout time.Duration
}

// TLS holds the file names of certificate, private key and certificate authority
// for mutual TLS between processes.
type TLS struct {
	Certificate, Key, Authority string
}

// Authentication modes.
const (
	// AuthenticationTokens identifies callers by bearer tokens.
	AuthenticationTokens = "tokens"
	// AuthenticationHeaders trusts the request headers that name team and caller.
	// It is for development only.
	AuthenticationHeaders = "headers"
)

// Operators holds the team of the administrators and the hash of the token with
// which the first tokens are created.
type Operators struct {
	AdminTeam, BootstrapTokenHash string
}

// Calls holds the default timeout of calls and the maximum size of a request
// body.
type Calls struct {
	DefaultTimeout time.Duration
	MaxBody        oleandervalve.Bytes
}

// Drain holds the time limits of a planned stop.
type Drain struct {
	// Timeout is the time that requests in flight have to complete.
	Timeout time.Duration
	// Notice is how long a stopping process stays reachable after it reports
	// that it is not ready, so that clients can switch to other processes.
	Notice time.Duration
}

// Worker describes the worker that an agent manages, or each simulated worker of
// the platform stand-in.
type Worker struct {
	ID       string
	Capacity oleandervalve.Resources
}

// Heartbeat holds the interval and the timeout of heartbeats from agents to
// entries.
type Heartbeat struct {
	Interval, Timeout time.Duration
}

// Lease holds the durations of worker and platform leases and the intervals of
// their renewal.
type Lease struct {
	Worker, Renewal, Guard, Platform, PlatformRenewal time.Duration
}

// Announcement holds the interval and the timeout of endpoint announcements.
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

// Simulation holds the settings that only stand-ins use.
type Simulation struct {
	Workers  []string
	UsageLag time.Duration
	Seed     uint64
}
