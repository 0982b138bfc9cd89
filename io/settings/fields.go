package settings

import (
	"strings"
	"time"
)

// field describes one setting: its name in the file, the roles that accept it,
// its type, its default and its description in the reference page.
type field struct {
	name        string
	roles       []Role
	kind        kind
	defaultText string
	required    bool
	// reserved lists the roles for which the field is validated but has no effect yet.
	reserved    []Role
	description string
	target      func(*Settings) any
}

func (f field) appliesTo(r Role) bool {
	for _, x := range f.roles {
		if x == r {
			return true
		}
	}
	return false
}

var (
	allRoles      = []Role{RoleEntry, RoleAgent, RoleTable, RoleObjects, RolePlatform, RoleEndpoint}
	entryAndAgent = []Role{RoleEntry, RoleAgent}
	entryOnly     = []Role{RoleEntry}
	agentOnly     = []Role{RoleAgent}
	standInRoles  = []Role{RoleTable, RoleObjects, RolePlatform, RoleEndpoint}
)

const (
	millisecond = time.Millisecond
	second      = time.Second
	minute      = time.Minute
	hour        = time.Hour
)

// fields lists every field in the order of the reference page and of the
// printed settings.
var fields = []field{
	{
		name: "role", roles: allRoles, kind: oneOf("entry", "agent", "table", "objects", "platform", "endpoint"), required: true,
		description: "what the process is", target: func(s *Settings) any { return &s.Role },
	},
	{
		name: "id", roles: allRoles, kind: name(), required: true,
		description: "id of the process, unique among all processes of its role", target: func(s *Settings) any { return &s.ID },
	},
	{
		name: "location.region", roles: entryAndAgent, kind: name(), required: true,
		description: "region that the process runs in", target: func(s *Settings) any { return &s.Location.Region },
	},
	{
		name: "location.dataCentre", roles: entryAndAgent, kind: name(), required: true,
		description: "data centre within the region", target: func(s *Settings) any { return &s.Location.DataCentre },
	},
	{
		name: "location.rack", roles: entryAndAgent, kind: name(),
		description: "rack within the data centre", target: func(s *Settings) any { return &s.Location.Rack },
	},
	{
		name: "log.level", roles: allRoles, kind: oneOf("error", "warn", "info", "debug"), defaultText: "info",
		description: "least severe log line that is written", target: func(s *Settings) any { return &s.LogLevel },
	},

	{
		name: "listen.callers", roles: entryOnly, kind: address(), required: true,
		description: "callers' HTTP API", target: func(s *Settings) any { return &s.Listen.Callers },
	},
	{
		name: "listen.peers", roles: entryOnly, kind: address(), required: true,
		description: "connections of agents", target: func(s *Settings) any { return &s.Listen.Peers },
	},
	{
		name: "listen.operators", roles: entryOnly, kind: address(),
		description: "operators' HTTP API", target: func(s *Settings) any { return &s.Listen.Operators },
	},
	{
		name: "listen.announcements", roles: agentOnly, kind: address(), required: true,
		description: "announcements of endpoints", target: func(s *Settings) any { return &s.Listen.Announcements },
	},
	{
		name: "listen.service", roles: standInRoles, kind: address(), required: true,
		description: "the stand-in's own API", target: func(s *Settings) any { return &s.Listen.Service },
	},
	{
		name: "listen.metrics", roles: allRoles, kind: address(), required: true,
		description: "/healthz, /readyz and /metrics", target: func(s *Settings) any { return &s.Listen.Metrics },
	},

	{
		name: "entries", roles: agentOnly, kind: urlList(), required: true,
		description: "peer addresses of the entries that the agent connects to", target: func(s *Settings) any { return &s.Entries },
	},
	{
		name: "table.url", roles: entryAndAgent, kind: baseURL(),
		description: "table service", target: func(s *Settings) any { return &s.Table.URL },
	},
	{
		name: "table.timeout", roles: entryAndAgent, kind: duration(10*millisecond, minute), defaultText: "2s",
		description: "longest call to the table service", target: func(s *Settings) any { return &s.Table.Timeout },
	},
	{
		name: "keys.home", roles: agentOnly, kind: oneOf("yes", "no"), defaultText: "yes",
		description: "whether the agent keeps idempotency keys; needs table.url, and costs the table a write and two reads per lease interval and second",
		target:      func(s *Settings) any { return &s.StoreKeys },
	},
	{
		name: "objects.url", roles: agentOnly, kind: baseURL(),
		description: "object store", target: func(s *Settings) any { return &s.Objects.URL },
	},
	{
		name: "objects.timeout", roles: agentOnly, kind: duration(10*millisecond, minute), defaultText: "5s",
		description: "longest call to the object store", target: func(s *Settings) any { return &s.Objects.Timeout },
	},
	{
		name: "platform.url", roles: entryAndAgent, kind: baseURL(),
		description: "worker platform", target: func(s *Settings) any { return &s.Platform.URL },
	},
	{
		name: "platform.timeout", roles: entryAndAgent, kind: duration(10*millisecond, minute), defaultText: "2s",
		description: "longest call to the worker platform", target: func(s *Settings) any { return &s.Platform.Timeout },
	},

	{
		name: "tls.certificate", roles: entryAndAgent, kind: file(),
		description: "certificate of the process in PEM format", target: func(s *Settings) any { return &s.TLS.Certificate },
	},
	{
		name: "tls.key", roles: entryAndAgent, kind: file(),
		description: "private key of the certificate in PEM format", target: func(s *Settings) any { return &s.TLS.Key },
	},
	{
		name: "tls.authority", roles: entryAndAgent, kind: file(),
		description: "certificates of the authority that signs peers, in PEM format", target: func(s *Settings) any { return &s.TLS.Authority },
	},

	{
		name: "authentication", roles: entryOnly, kind: oneOf(AuthenticationTokens, AuthenticationHeaders), defaultText: AuthenticationTokens,
		description: "how callers are found: by bearer tokens, or by trusted headers for development", target: func(s *Settings) any { return &s.Authentication },
	},
	{
		name: "operators.adminTeam", roles: entryOnly, kind: name(), defaultText: "platform",
		description: "team whose operators change everything", target: func(s *Settings) any { return &s.Operators.AdminTeam },
	},
	{
		name: "operators.bootstrapTokenHash", roles: entryOnly, kind: hash(),
		description: "hash of the token that makes the first tokens", target: func(s *Settings) any { return &s.Operators.BootstrapTokenHash },
	},

	{
		name: "calls.defaultTimeout", roles: entryOnly, kind: duration(millisecond, 10*minute), defaultText: "10s",
		description: "timeout of calls that name none", target: func(s *Settings) any { return &s.Calls.DefaultTimeout },
	},
	{
		name: "calls.maxBody", roles: entryOnly, kind: size(1<<10, 1<<30), defaultText: "8MiB",
		description: "largest request body", target: func(s *Settings) any { return &s.Calls.MaxBody },
	},

	{
		name: "drain.timeout", roles: allRoles, kind: duration(0, hour), defaultText: "30s",
		description: "time that requests in flight have to end at a planned stop", target: func(s *Settings) any { return &s.Drain.Timeout },
	},
	{
		name: "drain.notice", roles: allRoles, kind: duration(0, minute), defaultText: "2s",
		description: "time that a stopping process stays reachable after it reports that it is not ready", target: func(s *Settings) any { return &s.Drain.Notice },
	},

	{
		name: "worker.id", roles: agentOnly, kind: name(),
		description: "worker that the agent looks after", target: func(s *Settings) any { return &s.Worker.ID },
	},
	{
		name: "worker.cpu", roles: []Role{RoleAgent, RolePlatform}, kind: integer("millicores", 1, 1_024_000), defaultText: "16000", reserved: agentOnly,
		description: "processors of the worker, or of each simulated worker", target: func(s *Settings) any { return &s.Worker.Capacity.CPU },
	},
	{
		name: "worker.memory", roles: []Role{RoleAgent, RolePlatform}, kind: size(1<<20, 64<<40), defaultText: "60GiB", reserved: agentOnly,
		description: "memory of the worker, or of each simulated worker", target: func(s *Settings) any { return &s.Worker.Capacity.Memory },
	},
	{
		name: "worker.accelerators", roles: []Role{RoleAgent, RolePlatform}, kind: integer("accelerators", 0, 64), defaultText: "0", reserved: agentOnly,
		description: "accelerators of the worker, or of each simulated worker", target: func(s *Settings) any { return &s.Worker.Capacity.Accelerators },
	},

	{
		name: "heartbeat.interval", roles: agentOnly, kind: duration(100*millisecond, minute), defaultText: "1s",
		description: "time between heartbeats of an agent", target: func(s *Settings) any { return &s.Heartbeat.Interval },
	},
	{
		name: "heartbeat.timeout", roles: entryAndAgent, kind: duration(200*millisecond, 10*minute), defaultText: "3s", reserved: entryAndAgent,
		description: "time without a heartbeat after which an agent gets no new work", target: func(s *Settings) any { return &s.Heartbeat.Timeout },
	},
	{
		name: "lease.worker", roles: entryAndAgent, kind: duration(10*second, 24*hour), defaultText: "11m", reserved: entryAndAgent,
		description: "validity of a worker lease", target: func(s *Settings) any { return &s.Lease.Worker },
	},
	{
		name: "lease.renewal", roles: entryAndAgent, kind: duration(second, hour), defaultText: "10s", reserved: entryAndAgent,
		description: "time between renewals of worker leases", target: func(s *Settings) any { return &s.Lease.Renewal },
	},
	{
		name: "lease.guard", roles: entryOnly, kind: duration(second, hour), defaultText: "30s", reserved: entryOnly,
		description: "time after the end of a worker lease before its tasks are assigned anew", target: func(s *Settings) any { return &s.Lease.Guard },
	},
	{
		name: "lease.platform", roles: agentOnly, kind: duration(second, hour), defaultText: "30s", reserved: agentOnly,
		description: "validity of a task's lease at the platform", target: func(s *Settings) any { return &s.Lease.Platform },
	},
	{
		name: "lease.platformRenewal", roles: agentOnly, kind: duration(100*millisecond, hour), defaultText: "5s", reserved: agentOnly,
		description: "time between renewals of platform leases", target: func(s *Settings) any { return &s.Lease.PlatformRenewal },
	},
	{
		name: "announcement.interval", roles: []Role{RoleAgent, RoleEndpoint}, kind: duration(100*millisecond, minute), defaultText: "1s", reserved: agentOnly,
		description: "time between announcements of an endpoint", target: func(s *Settings) any { return &s.Announcement.Interval },
	},
	{
		name: "announcement.timeout", roles: agentOnly, kind: duration(100*millisecond, 10*minute), defaultText: "3s", reserved: agentOnly,
		description: "time without an announcement after which an endpoint counts as leaving", target: func(s *Settings) any { return &s.Announcement.Timeout },
	},

	{
		name: "endpoint.service", roles: []Role{RoleEndpoint}, kind: name(), required: true,
		description: "service that the endpoint answers for", target: func(s *Settings) any { return &s.Endpoint.Service },
	},
	{
		name: "endpoint.agent", roles: []Role{RoleEndpoint}, kind: baseURL(), required: true,
		description: "announcement address of the agent beside the endpoint", target: func(s *Settings) any { return &s.Endpoint.Agent },
	},
	{
		name: "endpoint.slots", roles: []Role{RoleEndpoint}, kind: integer("requests", 1, 10_000), defaultText: "8",
		description: "requests that the endpoint runs at the same time", target: func(s *Settings) any { return &s.Endpoint.Slots },
	},
	{
		name: "endpoint.connections", roles: []Role{RoleEndpoint}, kind: integer("connections", 1, 100_000), defaultText: "64",
		description: "connections that the endpoint accepts", target: func(s *Settings) any { return &s.Endpoint.Connections },
	},
	{
		name: "endpoint.serviceTime", roles: []Role{RoleEndpoint}, kind: duration(0, 10*minute), defaultText: "20ms",
		description: "median time to answer a request", target: func(s *Settings) any { return &s.Endpoint.ServiceTime },
	},
	{
		name: "simulation.workers", roles: []Role{RolePlatform}, kind: nameList(), required: true,
		description: "workers of the simulated platform", target: func(s *Settings) any { return &s.Simulation.Workers },
	},
	{
		name: "simulation.usageLag", roles: []Role{RolePlatform}, kind: duration(0, 10*minute), defaultText: "2s",
		description: "age of the newest usage measurement", target: func(s *Settings) any { return &s.Simulation.UsageLag },
	},
	{
		name: "simulation.seed", roles: standInRoles, kind: integer("seed", 0, 1<<53), defaultText: "1",
		description: "seed of all random choices", target: func(s *Settings) any { return &s.Simulation.Seed },
	},
}

// constraint is a condition between two fields that valid settings must meet.
type constraint struct {
	roles    []Role
	field    string
	other    string
	violated func(*Settings) bool
	remedy   string
}

// constraints lists the conditions between fields. A timeout or lease that must
// tolerate a lost message is at least twice the interval at which it is renewed.
var constraints = []constraint{
	{entryAndAgent, "tls.certificate", "tls.key", func(s *Settings) bool {
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
		allRoles, "drain.timeout", "drain.notice", func(s *Settings) bool { return s.Drain.Timeout < s.Drain.Notice },
		"use at least drain.notice",
	},
	{
		agentOnly, "heartbeat.timeout", "heartbeat.interval", func(s *Settings) bool { return s.Heartbeat.Timeout < 2*s.Heartbeat.Interval },
		"use at least twice heartbeat.interval, so that one lost heartbeat does not stop new work",
	},
	{
		entryAndAgent, "lease.worker", "lease.renewal", func(s *Settings) bool { return s.Lease.Worker < 2*s.Lease.Renewal },
		"use at least twice lease.renewal, so that one lost renewal does not stop tasks",
	},
	{
		entryAndAgent, "lease.worker", "heartbeat.timeout", func(s *Settings) bool { return s.Lease.Worker <= s.Heartbeat.Timeout },
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
