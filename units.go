package oleandervalve

// Millicores is CPU capacity in thousandths of a core.
type Millicores int64

// Bytes is a size in bytes.
type Bytes int64

// BitsPerSecond is the rate of a network link.
type BitsPerSecond int64

// Accelerators is a count of accelerators.
type Accelerators int32

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	CPU          Millicores   `json:"cpu" yaml:"cpu" cbor:"cpu"`
	Memory       Bytes        `json:"memory" yaml:"memory" cbor:"memory"`
	Accelerators Accelerators `json:"accelerators,omitempty" yaml:"accelerators,omitempty" cbor:"accelerators,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is within capacity for every resource.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.Memory <= capacity.Memory && r.Accelerators <= capacity.Accelerators
}

// IsNegative reports whether the amount of any resource is below zero.
func (r Resources) IsNegative() bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0
}
