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

// ticksPerSecond is the resolution of CPU times in /proc on Linux, in ticks per second.
const ticksPerSecond = 100

// processUsage is the resource usage of a process.
type processUsage struct {
	cpu     time.Duration // CPU time since the process started
	memMB   float64       // resident memory
	threads int
	sockets int // open sockets
}

// usageOf reads the resource usage of a process from /proc.
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
		number, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64) // 0 if it is not a number
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

// cpuOf returns the user and system time in the text of /proc/PID/stat. The second field, the program name in
// parentheses, may itself contain spaces and parentheses, so the fields are counted from the last closing one.
func cpuOf(stat []byte) (time.Duration, error) {
	const userTime, systemTime = 11, 12 // indexes of the fields after the program name
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

// socketsOf counts the open sockets in a process's directory of file descriptors.
func socketsOf(dir string) int {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has exited
	}
	n := 0
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// hostLoad returns the load average of the host over the last minute, 0 if it can't be read.
func hostLoad() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(raw), " ")
	load, _ := strconv.ParseFloat(first, 64) // 0 if it is not a number
	return load
}
