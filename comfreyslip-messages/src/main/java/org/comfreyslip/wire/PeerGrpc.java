package org.comfreyslip.wire;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Calls between daemons.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "comfreyslip.v1.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.comfreyslip.wire.ExchangeRequest,
      org.comfreyslip.wire.ExchangeReply> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.comfreyslip.wire.ExchangeRequest.class,
      responseType = org.comfreyslip.wire.ExchangeReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.comfreyslip.wire.ExchangeRequest,
      org.comfreyslip.wire.ExchangeReply> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.comfreyslip.wire.ExchangeRequest, org.comfreyslip.wire.ExchangeReply> getExchangeMethod;
    if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getExchangeMethod = PeerGrpc.getExchangeMethod) == null) {
          PeerGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.comfreyslip.wire.ExchangeRequest, org.comfreyslip.wire.ExchangeReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.ExchangeRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.ExchangeReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.comfreyslip.wire.FetchConfigRequest,
      org.comfreyslip.wire.FetchConfigReply> getFetchConfigMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchConfig",
      requestType = org.comfreyslip.wire.FetchConfigRequest.class,
      responseType = org.comfreyslip.wire.FetchConfigReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.comfreyslip.wire.FetchConfigRequest,
      org.comfreyslip.wire.FetchConfigReply> getFetchConfigMethod() {
    io.grpc.MethodDescriptor<org.comfreyslip.wire.FetchConfigRequest, org.comfreyslip.wire.FetchConfigReply> getFetchConfigMethod;
    if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
          PeerGrpc.getFetchConfigMethod = getFetchConfigMethod =
              io.grpc.MethodDescriptor.<org.comfreyslip.wire.FetchConfigRequest, org.comfreyslip.wire.FetchConfigReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchConfig"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.FetchConfigRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.FetchConfigReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchConfig"))
              .build();
        }
      }
    }
    return getFetchConfigMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.comfreyslip.wire.SubmitClaimsRequest,
      org.comfreyslip.wire.SubmitClaimsReply> getSubmitClaimsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SubmitClaims",
      requestType = org.comfreyslip.wire.SubmitClaimsRequest.class,
      responseType = org.comfreyslip.wire.SubmitClaimsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.comfreyslip.wire.SubmitClaimsRequest,
      org.comfreyslip.wire.SubmitClaimsReply> getSubmitClaimsMethod() {
    io.grpc.MethodDescriptor<org.comfreyslip.wire.SubmitClaimsRequest, org.comfreyslip.wire.SubmitClaimsReply> getSubmitClaimsMethod;
    if ((getSubmitClaimsMethod = PeerGrpc.getSubmitClaimsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getSubmitClaimsMethod = PeerGrpc.getSubmitClaimsMethod) == null) {
          PeerGrpc.getSubmitClaimsMethod = getSubmitClaimsMethod =
              io.grpc.MethodDescriptor.<org.comfreyslip.wire.SubmitClaimsRequest, org.comfreyslip.wire.SubmitClaimsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SubmitClaims"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.SubmitClaimsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.SubmitClaimsReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("SubmitClaims"))
              .build();
        }
      }
    }
    return getSubmitClaimsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.comfreyslip.wire.FindRequestRequest,
      org.comfreyslip.wire.FindRequestReply> getFindRequestMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FindRequest",
      requestType = org.comfreyslip.wire.FindRequestRequest.class,
      responseType = org.comfreyslip.wire.FindRequestReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.comfreyslip.wire.FindRequestRequest,
      org.comfreyslip.wire.FindRequestReply> getFindRequestMethod() {
    io.grpc.MethodDescriptor<org.comfreyslip.wire.FindRequestRequest, org.comfreyslip.wire.FindRequestReply> getFindRequestMethod;
    if ((getFindRequestMethod = PeerGrpc.getFindRequestMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFindRequestMethod = PeerGrpc.getFindRequestMethod) == null) {
          PeerGrpc.getFindRequestMethod = getFindRequestMethod =
              io.grpc.MethodDescriptor.<org.comfreyslip.wire.FindRequestRequest, org.comfreyslip.wire.FindRequestReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FindRequest"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.FindRequestRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.comfreyslip.wire.FindRequestReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FindRequest"))
              .build();
        }
      }
    }
    return getFindRequestMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Calls between daemons.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Exchanges membership and load differences.
     * </pre>
     */
    default void exchange(org.comfreyslip.wire.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.ExchangeReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration in force, or the difference from a known version.
     * </pre>
     */
    default void fetchConfig(org.comfreyslip.wire.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.FetchConfigReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchConfigMethod(), responseObserver);
    }

    /**
     * <pre>
     * Appends claim records through the owner of a claim stream.
     * </pre>
     */
    default void submitClaims(org.comfreyslip.wire.SubmitClaimsRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.SubmitClaimsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSubmitClaimsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Finds the route record of a request.
     * </pre>
     */
    default void findRequest(org.comfreyslip.wire.FindRequestRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.FindRequestReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFindRequestMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   * <pre>
   * Calls between daemons.
   * </pre>
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   * <pre>
   * Calls between daemons.
   * </pre>
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges membership and load differences.
     * </pre>
     */
    public void exchange(org.comfreyslip.wire.ExchangeRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.ExchangeReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns the configuration in force, or the difference from a known version.
     * </pre>
     */
    public void fetchConfig(org.comfreyslip.wire.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.FetchConfigReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Appends claim records through the owner of a claim stream.
     * </pre>
     */
    public void submitClaims(org.comfreyslip.wire.SubmitClaimsRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.SubmitClaimsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSubmitClaimsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Finds the route record of a request.
     * </pre>
     */
    public void findRequest(org.comfreyslip.wire.FindRequestRequest request,
        io.grpc.stub.StreamObserver<org.comfreyslip.wire.FindRequestReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFindRequestMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   * <pre>
   * Calls between daemons.
   * </pre>
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges membership and load differences.
     * </pre>
     */
    public org.comfreyslip.wire.ExchangeReply exchange(org.comfreyslip.wire.ExchangeRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the configuration in force, or the difference from a known version.
     * </pre>
     */
    public org.comfreyslip.wire.FetchConfigReply fetchConfig(org.comfreyslip.wire.FetchConfigRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Appends claim records through the owner of a claim stream.
     * </pre>
     */
    public org.comfreyslip.wire.SubmitClaimsReply submitClaims(org.comfreyslip.wire.SubmitClaimsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSubmitClaimsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Finds the route record of a request.
     * </pre>
     */
    public org.comfreyslip.wire.FindRequestReply findRequest(org.comfreyslip.wire.FindRequestRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFindRequestMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   * <pre>
   * Calls between daemons.
   * </pre>
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges membership and load differences.
     * </pre>
     */
    public org.comfreyslip.wire.ExchangeReply exchange(org.comfreyslip.wire.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns the configuration in force, or the difference from a known version.
     * </pre>
     */
    public org.comfreyslip.wire.FetchConfigReply fetchConfig(org.comfreyslip.wire.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Appends claim records through the owner of a claim stream.
     * </pre>
     */
    public org.comfreyslip.wire.SubmitClaimsReply submitClaims(org.comfreyslip.wire.SubmitClaimsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSubmitClaimsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Finds the route record of a request.
     * </pre>
     */
    public org.comfreyslip.wire.FindRequestReply findRequest(org.comfreyslip.wire.FindRequestRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFindRequestMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   * <pre>
   * Calls between daemons.
   * </pre>
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Exchanges membership and load differences.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.comfreyslip.wire.ExchangeReply> exchange(
        org.comfreyslip.wire.ExchangeRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns the configuration in force, or the difference from a known version.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.comfreyslip.wire.FetchConfigReply> fetchConfig(
        org.comfreyslip.wire.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Appends claim records through the owner of a claim stream.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.comfreyslip.wire.SubmitClaimsReply> submitClaims(
        org.comfreyslip.wire.SubmitClaimsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSubmitClaimsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Finds the route record of a request.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.comfreyslip.wire.FindRequestReply> findRequest(
        org.comfreyslip.wire.FindRequestRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFindRequestMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE = 0;
  private static final int METHODID_FETCH_CONFIG = 1;
  private static final int METHODID_SUBMIT_CLAIMS = 2;
  private static final int METHODID_FIND_REQUEST = 3;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          serviceImpl.exchange((org.comfreyslip.wire.ExchangeRequest) request,
              (io.grpc.stub.StreamObserver<org.comfreyslip.wire.ExchangeReply>) responseObserver);
          break;
        case METHODID_FETCH_CONFIG:
          serviceImpl.fetchConfig((org.comfreyslip.wire.FetchConfigRequest) request,
              (io.grpc.stub.StreamObserver<org.comfreyslip.wire.FetchConfigReply>) responseObserver);
          break;
        case METHODID_SUBMIT_CLAIMS:
          serviceImpl.submitClaims((org.comfreyslip.wire.SubmitClaimsRequest) request,
              (io.grpc.stub.StreamObserver<org.comfreyslip.wire.SubmitClaimsReply>) responseObserver);
          break;
        case METHODID_FIND_REQUEST:
          serviceImpl.findRequest((org.comfreyslip.wire.FindRequestRequest) request,
              (io.grpc.stub.StreamObserver<org.comfreyslip.wire.FindRequestReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.comfreyslip.wire.ExchangeRequest,
              org.comfreyslip.wire.ExchangeReply>(
                service, METHODID_EXCHANGE)))
        .addMethod(
          getFetchConfigMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.comfreyslip.wire.FetchConfigRequest,
              org.comfreyslip.wire.FetchConfigReply>(
                service, METHODID_FETCH_CONFIG)))
        .addMethod(
          getSubmitClaimsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.comfreyslip.wire.SubmitClaimsRequest,
              org.comfreyslip.wire.SubmitClaimsReply>(
                service, METHODID_SUBMIT_CLAIMS)))
        .addMethod(
          getFindRequestMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.comfreyslip.wire.FindRequestRequest,
              org.comfreyslip.wire.FindRequestReply>(
                service, METHODID_FIND_REQUEST)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.comfreyslip.wire.Comfreyslip.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .addMethod(getFetchConfigMethod())
              .addMethod(getSubmitClaimsMethod())
              .addMethod(getFindRequestMethod())
              .build();
        }
      }
    }
    return result;
  }
}
