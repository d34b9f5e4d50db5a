// Package config reads a controller's two settings files: the platform's (TOML) and the
// operators' (JSON, validated against operator.schema.json).
//
// It owns the formats of both files, their defaults and their validation. Settings are returned
// under the names used in the code, durations as time.Duration, sizes in bytes unless the name
// says otherwise. An invalid file is rejected as a whole. A SettingError or an OperatorError names
// the problem in one line; errors of the TOML decoder are wrapped.
//
// The package must never change a setting after it was read, access the network, or depend on
// how settings are used. Only Load and LoadOperator read files.
package config
