"""Read and validate the configuration: the platform's JSON file or the operator's TOML file."""
