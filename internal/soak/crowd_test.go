package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// crowdVariable enables TestSoakCrowd. Its value is the maximum number of gateways.
	crowdVariable = "RYEFORD_SOAK_CROWD"
	// maxProcesses bounds the processes of one run, including the emulator and the test.
	maxProcesses = 200
	// processMemory is the memory reserved for one gateway, in bytes.
	processMemory = 64 << 20
)

// TestSoakCrowd runs one fleet of seriesPlan with many gateways and a fresh seed. The
// number is limited by RYEFORD_SOAK_CROWD, maxProcesses and half of the machine's memory.
// It is skipped unless the variable is set.
func TestSoakCrowd(t *testing.T) {
	text := os.Getenv(crowdVariable)
	if text == "" {
		t.Skipf("%s is not set", crowdVariable)
	}
	wanted, err := strconv.Atoi(text)
	assert.NilError(t, err)
	const others = 2 // the emulator and the test
	gateways := min(wanted, maxProcesses-others, int(machineMemory(t)/2/processMemory))
	seed := rand.Uint64N(maxFreshSeed)
	t.Logf("seed %d, %d gateways", seed, gateways)
	f := newFleet(t, &seriesPlan, gateways)
	soakFleet(f, &seriesPlan, rand.New(rand.NewPCG(seed, 0)), seed)
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory(t *testing.T) int64 {
	t.Helper()
	file, err := os.Open("/proc/meminfo")
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var kilobytes int64
		if !strings.HasPrefix(lines.Text(), "MemTotal:") {
			continue
		}
		_, err := fmt.Sscanf(lines.Text(), "MemTotal: %d kB", &kilobytes)
		assert.NilError(t, err)
		return kilobytes << 10
	}
	t.Fatal("/proc/meminfo has no MemTotal")
	return 0
}
