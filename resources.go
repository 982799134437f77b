package papayajunction

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Dimension is the index of one kind of resource within Resources.
type Dimension int

// The dimensions of Resources, with their units.
const (
	Cores        Dimension = iota // thousandths of a core
	Memory                        // MiB
	Accelerators                  // whole devices
	Slots                         // request slots of endpoints
	dimensionCount
)

// Conversion factors from operator units to the units of Resources.
const (
	MilliPerCore = 1000
	MiBPerGiB    = 1024
)

// Unlimited represents a limit that is not set. No work reaches this amount.
const Unlimited = int64(1) << 50

// Resources is an amount of each kind of resource. The zero value is zero of each.
type Resources [dimensionCount]int64

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

// Mul returns r multiplied by n.
func (r Resources) Mul(n int64) Resources {
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

// FitsWhereUsed reports whether r is within limit in every dimension in which r is positive.
func (r Resources) FitsWhereUsed(limit Resources) bool {
	for d := range r {
		if r[d] > 0 && r[d] > limit[d] {
			return false
		}
	}
	return true
}

// FitCount returns how many times r fits into free, 1<<30 if r is positive in no dimension.
func (r Resources) FitCount(free Resources) int {
	n := int64(1 << 30)
	for d := range r {
		if r[d] > 0 {
			n = min(n, max(free[d], 0)/r[d])
		}
	}
	return int(n)
}

// IsZero reports whether r is zero in every dimension.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the greatest fraction of total that r takes in any dimension. Dimensions in
// which total is not positive are ignored.
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
	parts := []string{"unlimited cores", "unlimited memory"}
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
