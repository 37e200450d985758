package catalog

// InitialPreset is the preset in force before the first change.
const InitialPreset = "ordinary"

// Initial returns the document of a new deployment at revision 0. It has one preset, with all defaults, which is in force.
func Initial() *Document {
	return &Document{
		InForce: InitialPreset, Services: []Service{}, Teams: []Team{}, Presets: []Preset{{Name: InitialPreset}}, Changes: []Change{},
	}
}
