//go:build review

// Command standin runs one case of the review: a small deployment with real controllers, stand-ins for everything
// around them, and one disruption. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caroni is the small deployment of the buoys: BRIEF's teams and machines with three controllers, and the state
// service's limits, present and announced, of the change request.
func caroni() options {
	return options{
		zones: []string{"chaguaramas", "san-fernando", "scarborough"},
		teams: []string{"mooring-ops", "gulf-paria-data", "atlantic-east-data", "caribbean-north-data", "client-advisories"},
		objectives: []string{
			"kind = \"finished\"\nclass = \"hourly-swell-ingest\"\nwithin_s = 50.0\nshare = 0.95",
			"kind = \"finished\"\nclass = \"hourly-swell-ingest\"\nwithin_s = 90.0\nshare = 0.985",
		},
		reportS: 2.5, leaseS: 16, cancelS: 36, clockOffMs: 100,
		limits:   stateLimits{rps: 200, writeRPS: 80, valueKB: 32, txnOps: 12},
		next:     &stateLimits{rps: 200, writeRPS: 56, valueKB: 2, txnOps: 4},
		cloudRPS: 8, listLagS: 5, cpu: 0.096, memMB: 179, sockets: 1500,
		hull: machineType{Label: "tobago-16", CPUs: 16, RAMGb: 64, CacheGb: 30, FetchGb: 0.5, Rate: 0.8, Market: 0.21, BootS: 30,
			Berths: []string{"chaguaramas", "san-fernando", "scarborough"}},
		capacity: 48, machinesUp: 9,
	}
}

// alpenhub is the small deployment of the lifts: BRIEF's teams, machines and limits.
func alpenhub() options {
	return options{
		zones:   []string{"linz", "wien", "innsbruck"},
		teams:   []string{"service-west", "service-ost"},
		reportS: 1, leaseS: 10, cancelS: 40, clockOffMs: 1000,
		limits:   stateLimits{rps: 200, writeRPS: 80, valueKB: 32, txnOps: 48},
		cloudRPS: 3, listLagS: 10, cpu: 0.24, memMB: 98, sockets: 700,
		hull: machineType{Label: "donau-32", CPUs: 32, RAMGb: 128, CacheGb: 30, FetchGb: 0.5, Rate: 2.46, Market: 0.65, BootS: 30,
			Berths: []string{"linz", "wien", "innsbruck"}},
		capacity: 25, machinesUp: 4,
	}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	cases := map[string]func(*record, string, bool) (*platform, error){"1": caseOne, "2": caseTwo, "3": caseThree}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Println("no such case")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble: %v", os.Args[1], trouble)
	code := make(chan int, 1)
	var p *platform
	go func() {
		var err error
		p, err = run(rec, os.Args[2], trouble)
		if err != nil {
			rec.say("case could not run: %v", err)
			code <- 2
			return
		}
		code <- p.verdict()
	}()
	exit := 2
	select {
	case exit = <-code:
	case <-time.After(118 * time.Second):
		rec.say("case could not run: it took too long")
	}
	if current != nil {
		current.stop()
	}
	os.Exit(exit)
}

// current is the platform in use, whose processes are ended at the end.
var current *platform

// begin starts a deployment with its first machines up, and waits until the controllers are ready.
func begin(rec *record, program string, o options) (*platform, error) {
	p, err := newPlatform(rec, program, o)
	if err != nil {
		return nil, err
	}
	current = p
	p.cloud.mu.Lock()
	for i := range o.machinesUp {
		p.cloud.add(o.hull, o.zones[i%len(o.zones)], o.loanersUp, 0)
	}
	p.cloud.mu.Unlock()
	return p, p.start()
}
