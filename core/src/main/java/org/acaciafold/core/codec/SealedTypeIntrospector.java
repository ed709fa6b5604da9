package org.acaciafold.core.codec;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.jsontype.TypeResolverBuilder;

/**
 * Configures Jackson to treat every sealed interface as polymorphic, with a {@code type} property that holds the simple
 * name of the record.
 */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;
    private static final String TYPE_PROPERTY = "type";

    @Override
    public List<NamedType> findSubtypes(Annotated annotated) {
        Class<?> raw = annotated.getRawType();
        if (!raw.isInterface() || !raw.isSealed()) {
            return super.findSubtypes(annotated);
        }
        List<NamedType> types = new ArrayList<>();
        collectPermitted(raw, types);
        return types;
    }

    @Override
    public TypeResolverBuilder<?> findTypeResolver(
            MapperConfig<?> config, AnnotatedClass annotated, JavaType baseType) {
        if (!isSealedOrPermitted(annotated.getRawType())) {
            return super.findTypeResolver(config, annotated, baseType);
        }
        JsonTypeInfo.Value info = JsonTypeInfo.Value.construct(
                JsonTypeInfo.Id.NAME, JsonTypeInfo.As.PROPERTY, TYPE_PROPERTY, null, false, null);
        return _constructStdTypeResolverBuilder(config, info, baseType);
    }

    @Override
    public String findTypeName(AnnotatedClass annotated) {
        return isSealedOrPermitted(annotated.getRawType())
                ? annotated.getRawType().getSimpleName()
                : super.findTypeName(annotated);
    }

    private static void collectPermitted(Class<?> raw, List<NamedType> types) {
        for (Class<?> permitted : raw.getPermittedSubclasses()) {
            if (permitted.isSealed()) {
                collectPermitted(permitted, types);
            } else {
                types.add(new NamedType(permitted, permitted.getSimpleName()));
            }
        }
    }

    private static boolean isSealedOrPermitted(Class<?> raw) {
        if (raw.isInterface() && raw.isSealed()) {
            return true;
        }
        for (Class<?> parent : raw.getInterfaces()) {
            if (parent.isSealed()) {
                return true;
            }
        }
        return false;
    }
}
