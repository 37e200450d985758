package devtool

import (
	"crypto/sha256"
	"encoding/hex"

	"knapweedhoist/catalog"
	"knapweedhoist/standin"
)

// Names of the sample deployment.
const (
	sampleRegion       = "sierra"
	sampleModelService = "asistente"
	sampleModel        = "asistente-1"
	samplePlainService = "reservas"
)

var (
	sampleDatacentres = []string{"quito-norte", "quito-sur", "ambato", "riobamba"}
	sampleTeams       = []string{"zapateo", "sanjuanito", "pasillo", "tinku", "marisol"}
)

// teamKey returns the bearer key of a sample team. It is for trials only.
func teamKey(team string) string {
	return "dev-" + team
}

// operatorKey is the bearer key of the sample operator. It is for trials only.
const operatorKey = "dev-operator"

func hashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// sampleDocument returns the shared configuration of the sample deployment.
func sampleDocument() catalog.Document {
	document := catalog.Document{
		Revision: 1,
		InForce:  "ordinary",
		Services: []catalog.Service{
			{Name: sampleModelService, Kind: catalog.KindModel, Models: []string{sampleModel}, ChecksFence: true, Classes: []string{standin.ClassAccelerator}},
			{
				Name: samplePlainService, Kind: catalog.KindPlain, Classes: []string{standin.ClassGeneral},
				Idempotent: []catalog.CallRule{{Method: "POST", PathPrefix: "/availability"}},
			},
		},
		Presets: samplePresets(),
	}
	for i, team := range sampleTeams {
		weight := 1
		if i < 2 {
			weight = 4
		}
		document.Teams = append(document.Teams, catalog.Team{
			Name: team, KeyHashes: []string{hashKey(teamKey(team))}, Weight: weight,
			Services: []string{sampleModelService, samplePlainService},
		})
	}
	return document
}

func samplePresets() []catalog.Preset {
	peakHeadroom, maintenanceShare := 50, 0
	return []catalog.Preset{
		{Name: "ordinary"},
		{Name: "peak", HeadroomPercent: &peakHeadroom},
		{Name: "maintenance", ReclaimableShare: &maintenanceShare},
	}
}
