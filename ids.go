package oleandervalve

// RequestID identifies a caller's request on its way from the entry to the endpoint.
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

// EndpointID identifies an endpoint by the id in its announcements.
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

// KindName names the kind of work that a task does. Task sizes and interference are
// learned per kind.
type KindName string

// Revision numbers the accepted configuration changes in increasing order.
type Revision uint64

// Epoch is the fencing token of a task. It increases with every assignment.
type Epoch uint64

// ConnectionEpoch identifies one connection between two processes.
type ConnectionEpoch uint64

// MutationID identifies an attempt to commit a transaction. If the response is lost,
// the id in the written rows shows whether the transaction was committed.
type MutationID string

// ShardID identifies a shard of the tasks or of the workers.
type ShardID uint16

// Location is the location of an instance.
type Location struct {
	Region     RegionID     `json:"region" yaml:"region" cbor:"region"`
	DataCentre DataCentreID `json:"dataCentre" yaml:"dataCentre" cbor:"dataCentre"`
	Rack       RackID       `json:"rack" yaml:"rack" cbor:"rack"`
}
