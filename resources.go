package papayajunction

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Dimension indexes one kind of resource within Resources.
type Dimension int

// The dimensions of Resources, with the unit that each is counted in.
const (
	Cores        Dimension = iota // thousandths of a core
	Memory                        // MiB
	Accelerators                  // whole devices
	Slots                         // request slots of endpoints
	dimensions
)

// Units for building Resources.
const (
	MilliPerCore = 1000
	MiBPerGiB    = 1024
)

// Unlimited is an amount that no work reaches. It stands for a limit that isn't set.
const Unlimited = int64(1) << 50

// Resources is an amount of each kind of resource. The zero value is nothing.
type Resources [dimensions]int64

// NewResources returns an amount in operator units: cores, GiB, devices and request slots.
func NewResources(cores, memoryGB float64, accelerators, slots int64) Resources {
	return Resources{
		int64(math.Round(cores * MilliPerCore)),
		int64(math.Round(memoryGB * MiBPerGiB)),
		accelerators,
		slots,
	}
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	for d := range r {
		r[d] += o[d]
	}
	return r
}

// Sub returns r - o; entries may become negative.
func (r Resources) Sub(o Resources) Resources {
	for d := range r {
		r[d] -= o[d]
	}
	return r
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	for d := range r {
		r[d] *= n
	}
	return r
}

// Max returns the greater amount in each dimension.
func (r Resources) Max(o Resources) Resources {
	for d := range r {
		r[d] = max(r[d], o[d])
	}
	return r
}

// Min returns the smaller amount in each dimension.
func (r Resources) Min(o Resources) Resources {
	for d := range r {
		r[d] = min(r[d], o[d])
	}
	return r
}

// Fits reports whether r is within limit in every dimension.
func (r Resources) Fits(limit Resources) bool {
	for d := range r {
		if r[d] > limit[d] {
			return false
		}
	}
	return true
}

// FitsWhereUsed reports whether r is within limit in every dimension that r uses.
func (r Resources) FitsWhereUsed(limit Resources) bool {
	for d := range r {
		if r[d] > 0 && r[d] > limit[d] {
			return false
		}
	}
	return true
}

// CountIn returns how many times r fits into room, a large number if r is nothing.
func (r Resources) CountIn(room Resources) int {
	n := int64(1 << 30)
	for d := range r {
		if r[d] > 0 {
			n = min(n, max(room[d], 0)/r[d])
		}
	}
	return int(n)
}

// IsZero reports whether r is nothing.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the greatest part of total that r takes in any dimension, from 0 to 1.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for d := range r {
		if total[d] > 0 {
			share = max(share, float64(r[d])/float64(total[d]))
		}
	}
	return share
}

// String returns a short text such as "2 cores, 4 GiB".
func (r Resources) String() string {
	parts := []string{"any cores", "any memory"}
	if r[Cores] < Unlimited {
		parts[0] = fmt.Sprintf("%g cores", float64(r[Cores])/MilliPerCore)
	}
	if r[Memory] < Unlimited {
		parts[1] = fmt.Sprintf("%.4g GiB", float64(r[Memory])/MiBPerGiB)
	}
	if n := r[Accelerators]; n != 0 && n < Unlimited {
		parts = append(parts, fmt.Sprintf("%d accelerators", n))
	}
	if n := r[Slots]; n != 0 && n < Unlimited {
		parts = append(parts, fmt.Sprintf("%d request slots", n))
	}
	return strings.Join(parts, ", ")
}

type resourcesJSON struct {
	Cores        float64 `json:"cores,omitempty"`
	MemoryGB     float64 `json:"memory_gb,omitempty"`
	Accelerators int64   `json:"accelerators,omitempty"`
	RequestSlots int64   `json:"request_slots,omitempty"`
}

// MarshalJSON writes r in operator units.
func (r Resources) MarshalJSON() ([]byte, error) {
	return json.Marshal(resourcesJSON{
		Cores:        float64(r[Cores]) / MilliPerCore,
		MemoryGB:     float64(r[Memory]) / MiBPerGiB,
		Accelerators: r[Accelerators],
		RequestSlots: r[Slots],
	})
}

// UnmarshalJSON reads r in operator units.
func (r *Resources) UnmarshalJSON(data []byte) error {
	var v resourcesJSON
	if err := json.Unmarshal(data, &v); err != nil {
		return fmt.Errorf("read resources: %w", err)
	}
	*r = NewResources(v.Cores, v.MemoryGB, v.Accelerators, v.RequestSlots)
	return nil
}
