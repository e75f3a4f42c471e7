#!/usr/bin/env bash
# Regenerates the committed wire classes. Needs Maven; the build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")"
protoc_version=4.33.0
# The newest plugin release whose Linux executable is published; its output works with the gRPC version of the build.
grpc_version=1.80.0
tools=target/tools
mkdir -p "$tools"
mvn -B -q dependency:copy -Dartifact=com.google.protobuf:protoc:$protoc_version:exe:linux-x86_64 -DoutputDirectory="$tools"
mvn -B -q dependency:copy -Dartifact=io.grpc:protoc-gen-grpc-java:$grpc_version:exe:linux-x86_64 -DoutputDirectory="$tools"
chmod +x "$tools"/*.exe
"$tools/protoc-$protoc_version-linux-x86_64.exe" -Isrc/main/proto \
	--plugin=protoc-gen-grpc-java="$tools/protoc-gen-grpc-java-$grpc_version-linux-x86_64.exe" \
	--java_out=src/main/java --grpc-java_out=@generated=omit:src/main/java src/main/proto/comfreyslip.proto
