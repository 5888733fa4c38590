package protocol

// Limits of the cloud's interface, in machines a request.
const (
	MaxScaleOut = 50  // machines to rent
	MaxScaleIn  = 100 // machines to give back
	MaxList     = 500 // machines on one page of the list
)

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `json:"hulls"`
}

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      string   `json:"label"`
	Cpus      float64  `json:"cpus"`         // cores
	Gpus      float64  `json:"accelerators"` // accelerators
	MemGB     float64  `json:"ramGb"`        // memory, in GB
	CacheGB   float64  `json:"cacheGb"`      // room for container images, in GB
	FetchGBs  float64  `json:"fetchGbPerS"`  // speed at which images are fetched, in GB a second
	Price     float64  `json:"rate"`         // of an ordinary machine, in money an hour
	SpotPrice float64  `json:"marketPrice"`  // of a spot machine, in money an hour
	BootS     float64  `json:"bootS"`        // typical time from the request to the first heartbeat, in seconds
	Zones     []string `json:"berths"`       // where the type can be had
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	Name  string `json:"charter"` // the request's own name: a repetition rents nothing more
	Type  string `json:"hull"`
	Zone  string `json:"berth"`
	Spot  bool   `json:"loaners"` // spot machines, which are cheaper and may be taken back
	Count int    `json:"count"`   // up to MaxScaleOut
}

// MachineNames is a list of machine names: those that were rented, or those to give back.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID     string  `json:"id"`   // the machine's name, as in its heartbeats
	Addr   string  `json:"addr"` // where its worker takes direct commands, as host:port
	Type   string  `json:"hull"`
	Zone   string  `json:"berth"`
	Spot   bool    `json:"loaners"`
	Status string  `json:"status"` // the cloud's word for the machine's state
	AgeS   float64 `json:"heldS"`  // time since it was rented, in seconds
}

// MachineList is one page of the cloud's list, in the order of the machines' ids.
type MachineList struct {
	Machines []CloudMachine `json:"hosts"`
	More     bool           `json:"more"` // there are machines after the last one of this page
}
