package settings

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Standin is the settings of a process that takes the place of outside
// systems in tests: any number of each kind.
type Standin struct {
	Platform *StandinPlatform `yaml:"platform"`
	Engines  []StandinEngine  `yaml:"engines" validate:"dive"`
	Services []StandinService `yaml:"services" validate:"dive"`
	Links    []StandinLink    `yaml:"links" validate:"dive"`
	Emulator *Emulator        `yaml:"emulator"`
}

// An Emulator is a stand-in of the users' platform: its store and its servers.
type Emulator struct {
	Store Address `yaml:"store" validate:"required"`
	// Admin is where tests change the emulator, over HTTP.
	Admin Address `yaml:"admin" validate:"required"`
	// Configuration names a file with the operators' first configuration, in the
	// platform's JSON; empty is none.
	Configuration string           `yaml:"configuration"`
	Servers       []EmulatorServer `yaml:"servers" validate:"dive"`
}

// An EmulatorServer is one server of an Emulator.
type EmulatorServer struct {
	ID            string  `yaml:"id" validate:"required"`
	Service       string  `yaml:"service" validate:"required"`
	Address       Address `yaml:"address" validate:"required"`
	FailureDomain string  `yaml:"failure_domain" validate:"required"`
	// Events is how many events a stream has; zero makes a plain service.
	Events int `yaml:"events" validate:"min=0,max=100000"`
	// Step is the time before each event, or of a plain request's work.
	Step time.Duration `yaml:"step" validate:"min=0,max=10s"`
}

// A StandinPlatform is a stand-in of the platform's services.
type StandinPlatform struct {
	Address Address     `yaml:"address" validate:"required"`
	VMs     []StandinVM `yaml:"vms" validate:"dive"`
	// State names a file that outlives a restart; empty is none.
	State string `yaml:"state"`
	// WritesPerSecond and ReadsPerSecond bound the table; zero is no bound.
	WritesPerSecond int `yaml:"writes_per_second" validate:"min=0"`
	ReadsPerSecond  int `yaml:"reads_per_second" validate:"min=0"`
}

// A StandinVM is an entry of the stand-in's list of VMs.
type StandinVM struct {
	ID            ryeford.VMID `yaml:"id" validate:"required"`
	Role          ryeford.Role `yaml:"role" validate:"oneof=router agent"`
	Region        string       `yaml:"region" validate:"required"`
	FailureDomain string       `yaml:"failure_domain" validate:"required"`
	Address       Address      `yaml:"address" validate:"required"`
}

// A StandinEngine is a stand-in of a model engine.
type StandinEngine struct {
	Address Address        `yaml:"address" validate:"required"`
	Pools   []ryeford.Pool `yaml:"pools"`
	// Step is the time of one step of the batch.
	Step time.Duration `yaml:"step" validate:"min=0,max=10s"`
	// Slots is how many requests run at once.
	Slots int `yaml:"slots" validate:"min=0,max=1000"`
	// CacheChats is how many chats' prefixes the cache holds.
	CacheChats   int           `yaml:"cache_chats" validate:"min=0"`
	ChecksFences bool          `yaml:"checks_fences"`
	LoadTime     time.Duration `yaml:"load_time" validate:"min=0,max=1h"`
}

// A StandinService is a stand-in of a plain service.
type StandinService struct {
	Address Address       `yaml:"address" validate:"required"`
	Delay   time.Duration `yaml:"delay" validate:"min=0,max=1m"`
}

// A StandinLink relays UDP, so that a link can be cut or delayed.
type StandinLink struct {
	Address Address `yaml:"address" validate:"required"`
	To      Address `yaml:"to" validate:"required"`
	// Admin is where the faults are set, over HTTP.
	Admin Address `yaml:"admin" validate:"required"`
}
