package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// memoryOf returns a process's memory in KiB, as the system tells it: the pages of its own (RssAnon), and all that are resident.
func memoryOf(pid int) (own, resident int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		switch name {
		case "RssAnon":
			own = n
		case "VmRSS":
			resident = n
		}
	}
	return own, resident
}
