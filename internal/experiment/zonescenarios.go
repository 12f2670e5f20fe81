package experiment

import (
	"time"

	"cranegate/routing"
)

// threeZones are the zones of all scenarios.
var threeZones = []string{"muenchen-nord", "nuernberg", "augsburg"}

// baseSpec describes a fleet of the operators' size, scaled down so that each gateway receives 60 requests per second.
func baseSpec(length time.Duration, faults ...Fault) Spec {
	return Spec{
		Zones:      threeZones,
		Hosts:      10,
		Groups:     3,
		Gateways:   4,
		Rate:       60,
		Length:     length,
		StaleReads: routing.StaleReadDelayed,
		Faults:     faults,
	}
}

// sec abbreviates one second in scenario tables.
const sec = time.Second

// zoneLoads are the loads at which zone experiments run.
var zoneLoads = []float64{0.5, 0.7}

// Experiments lists all experiments. Other files of this package append theirs in init.
var Experiments = []Experiment{
	{
		Name:         "zone-loss-silent",
		About:        "a zone falls silent for 15 s: nothing is reset; its hosts come back cold",
		zone:         "nuernberg",
		lossAt:       15,
		returnAt:     30,
		maxDetection: 1500 * time.Millisecond,
		loads:        zoneLoads,
		spec: func(bool) Spec {
			return baseSpec(40*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 15 * sec, Duration: 15 * sec, RestartAtEnd: true})
		},
	},
	{
		Name:         "zone-loss-reset",
		About:        "all hosts of a zone die at once: connections are reset and refused for 15 s",
		zone:         "nuernberg",
		lossAt:       15,
		returnAt:     30,
		maxDetection: 500 * time.Millisecond,
		loads:        zoneLoads,
		spec: func(bool) Spec {
			return baseSpec(40*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 15 * sec, Duration: 15 * sec})
		},
	},
	{
		Name:   "zone-flap",
		About:  "a zone falls silent for 3 s and is back for 3 s, five times",
		zone:   "augsburg",
		lossAt: 15,
		loads:  zoneLoads,
		spec: func(bool) Spec {
			s := baseSpec(60 * sec)
			for i := range 5 {
				s.Faults = append(s.Faults, Fault{Kind: Silent, Zone: "augsburg", At: time.Duration(15+6*i) * sec, Duration: 3 * sec})
			}
			return s
		},
	},
	{
		Name:         "zone-return",
		About:        "all hosts of a zone come back at once after 9 s, cold and behind",
		zone:         "nuernberg",
		lossAt:       15,
		returnAt:     24,
		claimsReturn: true,
		loads:        zoneLoads,
		spec: func(bool) Spec {
			return baseSpec(60*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 15 * sec, Duration: 9 * sec})
		},
	},
	{
		Name:     "zone-return-most",
		About:    "two of each group's three hosts come back at once, cold: the group's work waits for them",
		zone:     "nuernberg",
		lossAt:   15,
		returnAt: 24,
		loads:    zoneLoads,
		spec: func(bool) Spec {
			s := baseSpec(40*sec, Fault{Kind: Crash, Zone: "nuernberg", At: 15 * sec, Duration: 9 * sec})
			s.Hosts = 9
			s.Layout = []string{"muenchen-nord", "nuernberg", "nuernberg", "augsburg", "nuernberg", "nuernberg", "muenchen-nord", "nuernberg", "nuernberg"}
			return s
		},
	},
	{
		Name:         "zone-primary",
		About:        "the zone that holds a primary falls silent, and discovery with it: the list names the old one throughout",
		zone:         "muenchen-nord",
		lossAt:       15,
		returnAt:     30,
		maxDetection: 1500 * time.Millisecond,
		loads:        zoneLoads,
		spec: func(bool) Spec {
			return baseSpec(40*sec, Fault{Kind: Silent, Zone: "muenchen-nord", At: 15 * sec, Duration: 15 * sec, RestartAtEnd: true},
				Fault{Kind: DiscoveryDown, At: 15 * sec, Duration: 15 * sec})
		},
	},
	{
		Name:          "zone-slow",
		About:         "a zone is four times as slow for 15 s, and not lost",
		zone:          "augsburg",
		lossAt:        15,
		claimsNotLost: true,
		loads:         zoneLoads,
		spec: func(bool) Spec {
			return baseSpec(40*sec, Fault{Kind: Slow, Zone: "augsburg", At: 15 * sec, Duration: 15 * sec})
		},
	},
	{
		Name:         "zone-large",
		About:        "a third of 300 hosts behind 60 gateways falls silent",
		zone:         "nuernberg",
		lossAt:       10,
		returnAt:     20,
		maxDetection: 1500 * time.Millisecond,
		loads:        zoneLoads,
		spec: func(short bool) Spec {
			s := baseSpec(25*sec, Fault{Kind: Silent, Zone: "nuernberg", At: 10 * sec, Duration: 10 * sec, RestartAtEnd: true})
			s.Hosts, s.Groups, s.Gateways = 300, 90, 60
			if short {
				s.Hosts, s.Groups, s.Gateways = 60, 18, 12
			}
			return s
		},
	},
}
