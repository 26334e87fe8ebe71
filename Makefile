PACKAGES = cmake ninja-build g++ ccache clang-format clang-tidy \
  libabsl-dev libgrpc++-dev libprotobuf-dev protobuf-compiler \
  protobuf-compiler-grpc prometheus-cpp-dev \
  libboost-dev libboost-program-options-dev libgoogle-glog-dev \
  catch2 nlohmann-json3-dev libsodium-dev

.PHONY: install build demo demo-himal check format lint proto bench clean

install:
	@missing=$$(dpkg-query -W -f='$${db:Status-Status} $${Package}\n' $(PACKAGES) 2>&1 | grep -v '^installed'); \
	if [ -n "$$missing" ]; then apt-get update -q && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y -q $(PACKAGES); fi

build: install
	cmake --preset default
	cmake --build --preset default

demo: build
	build/standin-demo --user papadakis

demo-himal: build
	build/standin-demo --user himal

check: build
	.ci/ctest

bench: build
	build/bench/capacity_bench
	build/bench/placement_bench
	build/bench/steering_bench

format:
	clang-format --dry-run -Werror $$(git ls-files '*.cpp' '*.h' | grep -v generated)

lint: build
	git ls-files '*.cpp' | xargs -P $$(nproc) -n 1 clang-tidy -p build --quiet

proto:
	protoc -I proto --cpp_out=src/net/generated --grpc_out=src/net/generated \
	  --plugin=protoc-gen-grpc=$$(command -v grpc_cpp_plugin) proto/peer.proto

clean:
	rm -rf build
