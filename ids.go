package oleandervalve

// RequestID identifies one caller request from entry to endpoint.
type RequestID string

// TaskID identifies one task of a job, in the form "<job>/<index>".
type TaskID string

// JobID identifies a job, a group of tasks submitted together.
type JobID string

// TeamID identifies a team, a group of callers with common quotas.
type TeamID string

// CallerID identifies one caller within a team.
type CallerID string

// ServiceName names a service whose endpoints answer requests.
type ServiceName string

// ClassName names a class of requests or tasks that share a weight and a floor.
type ClassName string

// WorkerID identifies a worker, an instance that runs tasks.
type WorkerID string

// EndpointID identifies one announced endpoint.
type EndpointID string

// EntryID identifies one entry process.
type EntryID string

// AgentID identifies one agent process.
type AgentID string

// RackID identifies a rack within a data centre.
type RackID string

// DataCentreID identifies a data centre within a region.
type DataCentreID string

// RegionID identifies a region.
type RegionID string

// KindName names the kind of work a task does, by which sizes and interference are learned.
type KindName string

// Revision numbers accepted configuration changes; it only grows.
type Revision uint64

// Epoch is the fencing token of a task; it grows with every assignment.
type Epoch uint64

// ConnectionEpoch identifies one connection between two processes.
type ConnectionEpoch uint64

// MutationID identifies one attempted transaction, so that a lost answer can be resolved.
type MutationID string

// ShardID numbers a shard of tasks or of workers.
type ShardID uint16

// Location tells where an instance stands.
type Location struct {
	Region     RegionID     `json:"region" yaml:"region" cbor:"region"`
	DataCentre DataCentreID `json:"dataCentre" yaml:"dataCentre" cbor:"dataCentre"`
	Rack       RackID       `json:"rack" yaml:"rack" cbor:"rack"`
}
