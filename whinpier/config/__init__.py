"""What is configured: the platform's JSON and the operator's file, read and checked."""
