package settings

import (
	"strings"
	"time"
)

// field is one row of the table that drives everything in this package.
type field struct {
	name     string
	roles    []Role
	kind     kind
	standard string
	required bool
	// reserved lists the roles for which the field is checked but has no effect yet.
	reserved []Role
	text     string
	target   func(*Settings) any
}

func (f field) has(r Role) bool {
	for _, x := range f.roles {
		if x == r {
			return true
		}
	}
	return false
}

var (
	all       = []Role{RoleEntry, RoleAgent, RoleTable, RoleObjects, RolePlatform, RoleEndpoint}
	both      = []Role{RoleEntry, RoleAgent}
	entryOnly = []Role{RoleEntry}
	agentOnly = []Role{RoleAgent}
	standins  = []Role{RoleTable, RoleObjects, RolePlatform, RoleEndpoint}
)

const (
	millisecond = time.Millisecond
	second      = time.Second
	minute      = time.Minute
	hour        = time.Hour
)

// fields lists every field in the order of the reference and of printed settings.
var fields = []field{
	{
		name: "role", roles: all, kind: oneOf("entry", "agent", "table", "objects", "platform", "endpoint"), required: true,
		text: "what the process is", target: func(s *Settings) any { return &s.Role },
	},
	{
		name: "id", roles: all, kind: name(), required: true,
		text: "id of the process, unique among all processes of its role", target: func(s *Settings) any { return &s.ID },
	},
	{
		name: "location.region", roles: both, kind: name(), required: true,
		text: "region that the process runs in", target: func(s *Settings) any { return &s.Location.Region },
	},
	{
		name: "location.dataCentre", roles: both, kind: name(), required: true,
		text: "data centre within the region", target: func(s *Settings) any { return &s.Location.DataCentre },
	},
	{
		name: "location.rack", roles: both, kind: name(),
		text: "rack within the data centre", target: func(s *Settings) any { return &s.Location.Rack },
	},
	{
		name: "log.level", roles: all, kind: oneOf("error", "warn", "info", "debug"), standard: "info",
		text: "least severe log line that is written", target: func(s *Settings) any { return &s.LogLevel },
	},

	{
		name: "listen.callers", roles: entryOnly, kind: address(), required: true,
		text: "callers' HTTP API", target: func(s *Settings) any { return &s.Listen.Callers },
	},
	{
		name: "listen.peers", roles: entryOnly, kind: address(), required: true,
		text: "connections of agents", target: func(s *Settings) any { return &s.Listen.Peers },
	},
	{
		name: "listen.operators", roles: entryOnly, kind: address(),
		text: "operators' HTTP API", target: func(s *Settings) any { return &s.Listen.Operators },
	},
	{
		name: "listen.announcements", roles: agentOnly, kind: address(), required: true,
		text: "announcements of endpoints", target: func(s *Settings) any { return &s.Listen.Announcements },
	},
	{
		name: "listen.service", roles: standins, kind: address(), required: true,
		text: "the stand-in's own API", target: func(s *Settings) any { return &s.Listen.Service },
	},
	{
		name: "listen.metrics", roles: all, kind: address(), required: true,
		text: "/healthz, /readyz and /metrics", target: func(s *Settings) any { return &s.Listen.Metrics },
	},

	{
		name: "entries", roles: agentOnly, kind: urlList(), required: true,
		text: "peer addresses of the entries that the agent connects to", target: func(s *Settings) any { return &s.Entries },
	},
	{
		name: "table.url", roles: both, kind: webURL(),
		text: "table service", target: func(s *Settings) any { return &s.Table.URL },
	},
	{
		name: "table.timeout", roles: both, kind: duration(10*millisecond, minute), standard: "2s",
		text: "longest call to the table service", target: func(s *Settings) any { return &s.Table.Timeout },
	},
	{
		name: "keys.home", roles: agentOnly, kind: oneOf("yes", "no"), standard: "yes",
		text:   "whether the agent keeps idempotency keys; needs table.url, and costs the table a write and two reads per lease interval and second",
		target: func(s *Settings) any { return &s.KeyHome },
	},
	{
		name: "objects.url", roles: agentOnly, kind: webURL(),
		text: "object store", target: func(s *Settings) any { return &s.Objects.URL },
	},
	{
		name: "objects.timeout", roles: agentOnly, kind: duration(10*millisecond, minute), standard: "5s",
		text: "longest call to the object store", target: func(s *Settings) any { return &s.Objects.Timeout },
	},
	{
		name: "platform.url", roles: both, kind: webURL(),
		text: "worker platform", target: func(s *Settings) any { return &s.Platform.URL },
	},
	{
		name: "platform.timeout", roles: both, kind: duration(10*millisecond, minute), standard: "2s",
		text: "longest call to the worker platform", target: func(s *Settings) any { return &s.Platform.Timeout },
	},

	{
		name: "tls.certificate", roles: both, kind: file(),
		text: "certificate of the process in PEM format", target: func(s *Settings) any { return &s.TLS.Certificate },
	},
	{
		name: "tls.key", roles: both, kind: file(),
		text: "private key of the certificate in PEM format", target: func(s *Settings) any { return &s.TLS.Key },
	},
	{
		name: "tls.authority", roles: both, kind: file(),
		text: "certificates of the authority that signs peers, in PEM format", target: func(s *Settings) any { return &s.TLS.Authority },
	},

	{
		name: "authentication", roles: entryOnly, kind: oneOf(AuthenticationTokens, AuthenticationHeaders), standard: AuthenticationTokens,
		text: "how callers are found: by bearer tokens, or by trusted headers for development", target: func(s *Settings) any { return &s.Authentication },
	},
	{
		name: "operators.adminTeam", roles: entryOnly, kind: name(), standard: "platform",
		text: "team whose operators change everything", target: func(s *Settings) any { return &s.Operators.AdminTeam },
	},
	{
		name: "operators.bootstrapTokenHash", roles: entryOnly, kind: hash(),
		text: "hash of the token that makes the first tokens", target: func(s *Settings) any { return &s.Operators.BootstrapTokenHash },
	},

	{
		name: "calls.defaultTimeout", roles: entryOnly, kind: duration(millisecond, 10*minute), standard: "10s",
		text: "timeout of calls that name none", target: func(s *Settings) any { return &s.Calls.DefaultTimeout },
	},
	{
		name: "calls.maxBody", roles: entryOnly, kind: size(1<<10, 1<<30), standard: "8MiB",
		text: "largest request body", target: func(s *Settings) any { return &s.Calls.MaxBody },
	},

	{
		name: "drain.timeout", roles: all, kind: duration(0, hour), standard: "30s",
		text: "time that requests in flight have to end at a planned stop", target: func(s *Settings) any { return &s.Drain.Timeout },
	},
	{
		name: "drain.notice", roles: all, kind: duration(0, minute), standard: "2s",
		text: "time that a stopping process stays reachable after it reports that it is not ready", target: func(s *Settings) any { return &s.Drain.Notice },
	},

	{
		name: "worker.id", roles: agentOnly, kind: name(),
		text: "worker that the agent looks after", target: func(s *Settings) any { return &s.Worker.ID },
	},
	{
		name: "worker.cpu", roles: []Role{RoleAgent, RolePlatform}, kind: integer("millicores", 1, 1_024_000), standard: "16000", reserved: agentOnly,
		text: "processors of the worker, or of each simulated worker", target: func(s *Settings) any { return &s.Worker.Capacity.CPU },
	},
	{
		name: "worker.memory", roles: []Role{RoleAgent, RolePlatform}, kind: size(1<<20, 64<<40), standard: "60GiB", reserved: agentOnly,
		text: "memory of the worker, or of each simulated worker", target: func(s *Settings) any { return &s.Worker.Capacity.Memory },
	},
	{
		name: "worker.accelerators", roles: []Role{RoleAgent, RolePlatform}, kind: integer("accelerators", 0, 64), standard: "0", reserved: agentOnly,
		text: "accelerators of the worker, or of each simulated worker", target: func(s *Settings) any { return &s.Worker.Capacity.Accelerators },
	},

	{
		name: "heartbeat.interval", roles: agentOnly, kind: duration(100*millisecond, minute), standard: "1s",
		text: "time between heartbeats of an agent", target: func(s *Settings) any { return &s.Heartbeat.Interval },
	},
	{
		name: "heartbeat.timeout", roles: both, kind: duration(200*millisecond, 10*minute), standard: "3s", reserved: both,
		text: "time without a heartbeat after which an agent gets no new work", target: func(s *Settings) any { return &s.Heartbeat.Timeout },
	},
	{
		name: "lease.worker", roles: both, kind: duration(10*second, 24*hour), standard: "11m", reserved: both,
		text: "validity of a worker lease", target: func(s *Settings) any { return &s.Lease.Worker },
	},
	{
		name: "lease.renewal", roles: both, kind: duration(second, hour), standard: "10s", reserved: both,
		text: "time between renewals of worker leases", target: func(s *Settings) any { return &s.Lease.Renewal },
	},
	{
		name: "lease.guard", roles: entryOnly, kind: duration(second, hour), standard: "30s", reserved: entryOnly,
		text: "time after the end of a worker lease before its tasks are assigned anew", target: func(s *Settings) any { return &s.Lease.Guard },
	},
	{
		name: "lease.platform", roles: agentOnly, kind: duration(second, hour), standard: "30s", reserved: agentOnly,
		text: "validity of a task's lease at the platform", target: func(s *Settings) any { return &s.Lease.Platform },
	},
	{
		name: "lease.platformRenewal", roles: agentOnly, kind: duration(100*millisecond, hour), standard: "5s", reserved: agentOnly,
		text: "time between renewals of platform leases", target: func(s *Settings) any { return &s.Lease.PlatformRenewal },
	},
	{
		name: "announcement.interval", roles: []Role{RoleAgent, RoleEndpoint}, kind: duration(100*millisecond, minute), standard: "1s", reserved: agentOnly,
		text: "time between announcements of an endpoint", target: func(s *Settings) any { return &s.Announcement.Interval },
	},
	{
		name: "announcement.timeout", roles: agentOnly, kind: duration(100*millisecond, 10*minute), standard: "3s", reserved: agentOnly,
		text: "time without an announcement after which an endpoint counts as leaving", target: func(s *Settings) any { return &s.Announcement.Timeout },
	},

	{
		name: "endpoint.service", roles: []Role{RoleEndpoint}, kind: name(), required: true,
		text: "service that the endpoint answers for", target: func(s *Settings) any { return &s.Endpoint.Service },
	},
	{
		name: "endpoint.agent", roles: []Role{RoleEndpoint}, kind: webURL(), required: true,
		text: "announcement address of the agent beside the endpoint", target: func(s *Settings) any { return &s.Endpoint.Agent },
	},
	{
		name: "endpoint.slots", roles: []Role{RoleEndpoint}, kind: integer("requests", 1, 10_000), standard: "8",
		text: "requests that the endpoint runs at the same time", target: func(s *Settings) any { return &s.Endpoint.Slots },
	},
	{
		name: "endpoint.connections", roles: []Role{RoleEndpoint}, kind: integer("connections", 1, 100_000), standard: "64",
		text: "connections that the endpoint accepts", target: func(s *Settings) any { return &s.Endpoint.Connections },
	},
	{
		name: "endpoint.serviceTime", roles: []Role{RoleEndpoint}, kind: duration(0, 10*minute), standard: "20ms",
		text: "median time to answer a request", target: func(s *Settings) any { return &s.Endpoint.ServiceTime },
	},
	{
		name: "simulation.workers", roles: []Role{RolePlatform}, kind: nameList(), required: true,
		text: "workers of the simulated platform", target: func(s *Settings) any { return &s.Simulation.Workers },
	},
	{
		name: "simulation.usageLag", roles: []Role{RolePlatform}, kind: duration(0, 10*minute), standard: "2s",
		text: "age of the newest usage measurement", target: func(s *Settings) any { return &s.Simulation.UsageLag },
	},
	{
		name: "simulation.seed", roles: standins, kind: integer("seed", 0, 1<<53), standard: "1",
		text: "seed of all random choices", target: func(s *Settings) any { return &s.Simulation.Seed },
	},
}

// rule is a contradiction between fields.
type rule struct {
	roles  []Role
	field  string
	other  string
	broken func(*Settings) bool
	remedy string
}

// rules lists the contradictions. A period that must survive lost messages is
// at least twice the interval at which it is renewed.
var rules = []rule{
	{both, "tls.certificate", "tls.key", func(s *Settings) bool {
		n := 0
		for _, f := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
			if f != "" {
				n++
			}
		}
		return n != 0 && n != 3
	}, "name certificate, key and authority together, or none of them"},
	{
		agentOnly, "entries", "tls.certificate", func(s *Settings) bool {
			secure := s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.Authority != ""
			for _, u := range s.Entries {
				if secure != strings.HasPrefix(u, "https://") && (secure || s.TLS.Certificate+s.TLS.Key+s.TLS.Authority == "") {
					return true
				}
			}
			return false
		}, "use https addresses with certificate files and http addresses without them",
	},
	{
		entryOnly, "authentication", "table.url", func(s *Settings) bool {
			return s.Authentication == AuthenticationTokens && s.Table.URL == ""
		}, "name the table that holds the tokens, or use headers for development",
	},
	{
		entryOnly, "listen.operators", "table.url", func(s *Settings) bool { return s.Listen.Operators != "" && s.Table.URL == "" },
		"name the table that holds the configuration",
	},
	{
		all, "drain.timeout", "drain.notice", func(s *Settings) bool { return s.Drain.Timeout < s.Drain.Notice },
		"use at least drain.notice",
	},
	{
		agentOnly, "heartbeat.timeout", "heartbeat.interval", func(s *Settings) bool { return s.Heartbeat.Timeout < 2*s.Heartbeat.Interval },
		"use at least twice heartbeat.interval, so that one lost heartbeat does not stop new work",
	},
	{
		both, "lease.worker", "lease.renewal", func(s *Settings) bool { return s.Lease.Worker < 2*s.Lease.Renewal },
		"use at least twice lease.renewal, so that one lost renewal does not stop tasks",
	},
	{
		both, "lease.worker", "heartbeat.timeout", func(s *Settings) bool { return s.Lease.Worker <= s.Heartbeat.Timeout },
		"use more than heartbeat.timeout, so that tasks outlast a suspicion",
	},
	{
		agentOnly, "lease.platform", "lease.platformRenewal", func(s *Settings) bool { return s.Lease.Platform < 2*s.Lease.PlatformRenewal },
		"use at least twice lease.platformRenewal, so that one lost renewal does not stop tasks",
	},
	{
		agentOnly, "announcement.timeout", "announcement.interval", func(s *Settings) bool { return s.Announcement.Timeout < 2*s.Announcement.Interval },
		"use at least twice announcement.interval, so that one lost announcement does not remove the endpoint",
	},
}
