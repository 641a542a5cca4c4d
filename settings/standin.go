package settings

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Standin is the settings of a process that simulates external systems in tests.
type Standin struct {
	// Platform is the platform of the fleet with agents.
	Platform *StandinPlatform `yaml:"platform"`
	// Engines are model engines.
	Engines []StandinEngine `yaml:"engines" validate:"dive"`
	// Services are plain services.
	Services []StandinService `yaml:"services" validate:"dive"`
	// Links are UDP relays.
	Links []StandinLink `yaml:"links" validate:"dive"`
	// Emulator is the users' platform: its store and its servers.
	Emulator *Emulator `yaml:"emulator"`
}

// An Emulator is a stand-in for the users' platform: its store and its servers.
type Emulator struct {
	// Store is the address of the store.
	Store Address `yaml:"store" validate:"required"`
	// Admin is the HTTP address at which tests change the emulator.
	Admin Address `yaml:"admin" validate:"required"`
	// Configuration is the name of a file with the operators' initial configuration,
	// in the platform's JSON; empty for none.
	Configuration string `yaml:"configuration"`
	// Servers are the servers in the list of endpoints.
	Servers []EmulatorServer `yaml:"servers" validate:"dive"`
}

// An EmulatorServer is one server of an Emulator.
type EmulatorServer struct {
	// ID is the server's ID in the list.
	ID string `yaml:"id" validate:"required"`
	// Service is the name of the service that the server provides.
	Service string `yaml:"service" validate:"required"`
	// Address is the server's HTTP address.
	Address Address `yaml:"address" validate:"required"`
	// FailureDomain is the server's failure domain.
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Software is the version of the server's software, which its entry and its
	// events name; empty for none.
	Software string `yaml:"software"`
	// Events is the number of events in a stream; zero makes the server a plain
	// service.
	Events int `yaml:"events" unit:"events" validate:"min=0,max=100000"`
	// Step is the time before each event, or the processing time of a plain request.
	Step time.Duration `yaml:"step" validate:"min=0,max=10s"`
}

// A StandinPlatform is a stand-in for the services of the platform: table, object
// store and list of VMs.
type StandinPlatform struct {
	// Address is its HTTP address.
	Address Address `yaml:"address" validate:"required"`
	// VMs are the initial entries of the list of VMs.
	VMs []StandinVM `yaml:"vms" validate:"dive"`
	// State is the name of a file that keeps the state across restarts; empty for
	// none.
	State string `yaml:"state"`
	// WritesPerSecond limits the table's writes; zero for no limit.
	WritesPerSecond int `yaml:"writes_per_second" unit:"calls a second" validate:"min=0"`
	// ReadsPerSecond limits the table's reads; zero for no limit.
	ReadsPerSecond int `yaml:"reads_per_second" unit:"calls a second" validate:"min=0"`
}

// A StandinVM is an entry of the stand-in's list of VMs.
type StandinVM struct {
	// ID is the VM's ID, as in the settings of the VM.
	ID ryeford.VMID `yaml:"id" validate:"required"`
	// Role is what runs on the VM.
	Role ryeford.Role `yaml:"role" validate:"oneof=router agent"`
	// Region is the VM's region.
	Region string `yaml:"region" validate:"required"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Address is an agent's QUIC address.
	Address Address `yaml:"address" validate:"required"`
}

// A StandinEngine is a stand-in for a model engine.
type StandinEngine struct {
	// Address is the engine's HTTP address.
	Address Address `yaml:"address" validate:"required"`
	// Pools are the pools that the engine has loaded at its start.
	Pools []ryeford.Pool `yaml:"pools"`
	// Step is the time of one step of the batch; zero for the engine's default.
	Step time.Duration `yaml:"step" validate:"min=0,max=10s"`
	// Slots is how many requests run at once; zero for the engine's default.
	Slots int `yaml:"slots" unit:"requests" validate:"min=0,max=1000"`
	// CacheChats is how many chats' prefixes the cache holds; zero for the engine's
	// default.
	CacheChats int `yaml:"cache_chats" unit:"chats" validate:"min=0"`
	// ChecksFences makes the engine refuse orders of a plan older than the newest
	// one that it has received.
	ChecksFences bool `yaml:"checks_fences"`
	// LoadTime is how long the engine takes to load a model.
	LoadTime time.Duration `yaml:"load_time" validate:"min=0,max=1h"`
}

// A StandinService is a stand-in for a plain service.
type StandinService struct {
	// Address is the service's HTTP address.
	Address Address `yaml:"address" validate:"required"`
	// Delay is how long each call takes.
	Delay time.Duration `yaml:"delay" validate:"min=0,max=1m"`
}

// A StandinLink is a UDP relay that can drop or delay packets.
type StandinLink struct {
	// Address is the UDP address at which the link receives.
	Address Address `yaml:"address" validate:"required"`
	// To is the UDP address to which it forwards what it receives.
	To Address `yaml:"to" validate:"required"`
	// Admin is the HTTP address at which its faults are set.
	Admin Address `yaml:"admin" validate:"required"`
}
