package scaletest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

// processUsage is what a process has used and holds.
type processUsage struct {
	cpu     time.Duration // since it began
	memMB   float64       // resident
	threads int
	sockets int
}

// usageOf reads a process's figures from /proc.
func usageOf(pid int) (processUsage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var usage processUsage
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage, fmt.Errorf("usage of a process: %w", err)
	}
	if usage.cpu, err = cpuOf(stat); err != nil {
		return usage, err
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return usage, fmt.Errorf("usage of a process: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		number, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64) // 0 where it is no number
		switch name {
		case "VmRSS":
			usage.memMB = number / 1024
		case "Threads":
			usage.threads = int(number)
		}
	}
	usage.sockets = socketsOf(filepath.Join(dir, "fd"))
	return usage, nil
}

// cpuOf reads user and system time from the text of /proc/PID/stat, whose second field may hold spaces and brackets.
func cpuOf(stat []byte) (time.Duration, error) {
	const userTime, systemTime = 11, 12 // fields after the name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemTime {
		return 0, fmt.Errorf("usage of a process: expected %d fields in stat, found %d", systemTime+1, len(fields))
	}
	ticks := 0
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, fmt.Errorf("usage of a process: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

func socketsOf(dir string) int {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0 // it has ended
	}
	n := 0
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// hostLoad is the machine's load over the last minute.
func hostLoad() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(raw), " ")
	load, _ := strconv.ParseFloat(first, 64) // 0 where it is no number
	return load
}
