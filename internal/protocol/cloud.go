package protocol

// Limits of the cloud's API, in machines per request.
const (
	MaxScaleOut        = 50  // maximum number of machines to rent
	MaxScaleIn         = 100 // maximum number of machines to return
	MaxMachinesPerPage = 500 // maximum number of machines on one page of the list
)

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `json:"hulls"`
}

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"label"`
	Cpus      float64  `json:"cpus"`         // CPU cores
	Gpus      float64  `json:"accelerators"` // accelerators
	MemGB     float64  `json:"ramGb"`        // memory, in GB
	CacheGB   float64  `json:"cacheGb"`      // disk space for container images, in GB
	FetchGBs  float64  `json:"fetchGbPerS"`  // throughput of fetching container images, in GB per second
	Price     float64  `json:"rate"`         // price of an on-demand machine, in currency units per hour
	SpotPrice float64  `json:"marketPrice"`  // price of a spot machine, in currency units per hour
	BootS     float64  `json:"bootS"`        // typical time from the request to the machine's first heartbeat, in seconds
	Zones     []string `json:"berths"`       // zones that offer the type
}

// ScaleOutRequest is a request to rent machines from the cloud.
type ScaleOutRequest struct {
	Name  string `json:"charter"` // unique name of the request, which makes it idempotent: a repetition rents no more machines
	Type  string `json:"hull"`
	Zone  string `json:"berth"`
	Spot  bool   `json:"loaners"` // spot machines, which are cheaper and which the cloud may preempt
	Count int    `json:"count"`   // number of machines, up to MaxScaleOut
}

// MachineNames lists machines by name: those that were rented, or those to return.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// CloudMachine is one machine in the cloud's list.
type CloudMachine struct {
	ID     string  `json:"id"`   // the machine's name, as in its heartbeats
	Addr   string  `json:"addr"` // address at which its worker accepts direct commands, as host:port
	Type   string  `json:"hull"`
	Zone   string  `json:"berth"`
	Spot   bool    `json:"loaners"`
	Status string  `json:"status"` // the machine's state, as the cloud reports it
	AgeS   float64 `json:"heldS"`  // time since the machine was rented, in seconds
}

// MachineList is one page of the cloud's machine list, ordered by ID.
type MachineList struct {
	Machines []CloudMachine `json:"hosts"`
	More     bool           `json:"more"` // whether more machines follow the last one of this page
}
